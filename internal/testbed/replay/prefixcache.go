package replay

// prefixCache is the memory of an engine, in tokens: parts of prompts that are kept for
// the next request with the same beginning, and what can't give way.
type prefixCache struct {
	capacity, block int
	parts           map[string]*prefixPart
	cached          int
	// fixed is what running requests hold beside parts.
	fixed int
	turn  int
}

// prefixPart is one part of a prompt behind all parts before it.
type prefixPart struct {
	name     string
	tokens   int
	used     int
	pins     int
	parent   *prefixPart
	children int
}

func newPrefixCache(capacity, block int) *prefixCache {
	return &prefixCache{capacity: capacity, block: block, parts: map[string]*prefixPart{}}
}

// rounded is how many tokens' places so many tokens take up.
func (k *prefixCache) rounded(tokens int) int {
	return (tokens + k.block - 1) / k.block * k.block
}

// chainNames gives each part of a chain the name of the chain up to it.
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
func (k *prefixCache) missing(model string, chain []part) int {
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

// pinnedTokens is what can't give way.
func (k *prefixCache) pinnedTokens() int {
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
func (k *prefixCache) pin(model string, chain []part) ([]*prefixPart, bool) {
	var pinned []*prefixPart
	var parent *prefixPart
	names := chainNames(model, chain)
	// What is kept is held first, so that it doesn't give way for the rest.
	for _, name := range names {
		one := k.parts[name]
		if one == nil {
			break
		}
		one.pins++
		pinned = append(pinned, one)
		parent = one
	}
	for position := len(pinned); position < len(chain); position++ {
		places := k.rounded(chain[position].tokens)
		if !k.evict(places) {
			k.unpin(pinned)
			return nil, false
		}
		one := &prefixPart{name: names[position], tokens: chain[position].tokens, pins: 1, parent: parent}
		if parent != nil {
			parent.children++
		}
		k.parts[one.name] = one
		k.cached += places
		pinned = append(pinned, one)
		parent = one
	}
	return pinned, true
}

// unpin lets parts give way again; they stay as long as nobody needs their room.
func (k *prefixCache) unpin(pinned []*prefixPart) {
	for _, one := range pinned {
		k.turn++
		one.pins--
		one.used = k.turn
	}
}

// forget takes parts away that were never read to their end.
func (k *prefixCache) forget(pinned []*prefixPart) {
	for position := len(pinned) - 1; position >= 0; position-- {
		if one := pinned[position]; one.pins == 0 && one.children == 0 && k.parts[one.name] == one {
			k.drop(one)
		}
	}
}

func (k *prefixCache) drop(one *prefixPart) {
	delete(k.parts, one.name)
	k.cached -= k.rounded(one.tokens)
	if one.parent != nil {
		one.parent.children--
	}
}

// evict lets the parts give way that were unused for longest, the last of a chain
// first.
func (k *prefixCache) evict(places int) bool {
	for k.capacity-k.cached-k.fixed < places {
		var oldest *prefixPart
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
func (k *prefixCache) grow(places int) bool {
	if !k.evict(places) {
		return false
	}
	k.fixed += places
	return true
}
