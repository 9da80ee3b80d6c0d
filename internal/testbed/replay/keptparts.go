package replay

// keptParts is the memory of an engine, in tokens: parts of prompts that are kept for
// the next request with the same beginning, and what can't give way.
type keptParts struct {
	capacity, block int
	parts           map[string]*keptPart
	kept            int
	// fixed is what running requests hold beside parts.
	fixed int
	turn  int
}

// keptPart is one part of a prompt behind all parts before it.
type keptPart struct {
	name     string
	tokens   int
	used     int
	pins     int
	parent   *keptPart
	children int
}

func newKeptParts(capacity, block int) *keptParts {
	return &keptParts{capacity: capacity, block: block, parts: map[string]*keptPart{}}
}

// rounded is how many tokens' places so many tokens take up.
func (k *keptParts) rounded(tokens int) int {
	return (tokens + k.block - 1) / k.block * k.block
}

// names gives each part of a chain the name of the chain up to it.
func chainNames(model string, chain []part) []string {
	names := make([]string, 0, len(chain))
	name := model
	for _, one := range chain {
		name += "/" + one.id
		names = append(names, name)
	}
	return names
}

// missing is how many tokens of a chain are not kept: all behind the first part that
// isn't.
func (k *keptParts) missing(model string, chain []part) int {
	tokens, broken := 0, false
	for position, name := range chainNames(model, chain) {
		if k.parts[name] == nil {
			broken = true
		}
		if broken {
			tokens += chain[position].tokens
		}
	}
	return tokens
}

// pinned is what can't give way.
func (k *keptParts) pinned() int {
	pinned := k.fixed
	for _, one := range k.parts {
		if one.pins > 0 {
			pinned += k.rounded(one.tokens)
		}
	}
	return pinned
}

// pin keeps a chain for one request, and makes room for what is missing of it; it tells
// whether there was room.
func (k *keptParts) pin(model string, chain []part) ([]*keptPart, bool) {
	var held []*keptPart
	var parent *keptPart
	names := chainNames(model, chain)
	// What is kept is held first, so that it doesn't give way for the rest.
	for _, name := range names {
		one := k.parts[name]
		if one == nil {
			break
		}
		one.pins++
		held = append(held, one)
		parent = one
	}
	for position := len(held); position < len(chain); position++ {
		places := k.rounded(chain[position].tokens)
		if !k.makeRoom(places) {
			k.unpin(held)
			return nil, false
		}
		one := &keptPart{name: names[position], tokens: chain[position].tokens, pins: 1, parent: parent}
		if parent != nil {
			parent.children++
		}
		k.parts[one.name] = one
		k.kept += places
		held = append(held, one)
		parent = one
	}
	return held, true
}

// unpin lets parts give way again; they stay as long as nobody needs their room.
func (k *keptParts) unpin(held []*keptPart) {
	for _, one := range held {
		k.turn++
		one.pins--
		one.used = k.turn
	}
}

// forget takes parts away that were never read to their end.
func (k *keptParts) forget(held []*keptPart) {
	for position := len(held) - 1; position >= 0; position-- {
		if one := held[position]; one.pins == 0 && one.children == 0 && k.parts[one.name] == one {
			k.drop(one)
		}
	}
}

func (k *keptParts) drop(one *keptPart) {
	delete(k.parts, one.name)
	k.kept -= k.rounded(one.tokens)
	if one.parent != nil {
		one.parent.children--
	}
}

// makeRoom lets the parts give way that were unused for longest, the last of a chain
// first.
func (k *keptParts) makeRoom(places int) bool {
	for k.capacity-k.kept-k.fixed < places {
		var oldest *keptPart
		for _, one := range k.parts {
			if one.pins == 0 && one.children == 0 && (oldest == nil || one.used < oldest.used) {
				oldest = one
			}
		}
		if oldest == nil {
			return false
		}
		k.drop(oldest)
	}
	return true
}

// grow takes room for a running request's own tokens.
func (k *keptParts) grow(places int) bool {
	if !k.makeRoom(places) {
		return false
	}
	k.fixed += places
	return true
}
