package replay

// prefixCache is the KV cache memory of an engine, counted in tokens: prompt parts that are cached
// for later requests with the same prefix, and memory reserved for running requests.
type prefixCache struct {
	capacity, block int
	parts           map[string]*prefixPart
	cached          int
	// reservedTokens is the memory that running requests have reserved for the tokens that they
	// generate.
	reservedTokens int
	// clock counts uses, to find the least recently used part.
	clock int
}

// prefixPart is one cached part of a prompt. It can be used only after the same preceding parts.
type prefixPart struct {
	name     string
	tokens   int
	lastUsed int
	pins     int
	parent   *prefixPart
	children int
}

func newPrefixCache(capacity, block int) *prefixCache {
	return &prefixCache{capacity: capacity, block: block, parts: map[string]*prefixPart{}}
}

// roundUp rounds a number of tokens up to whole blocks.
func (c *prefixCache) roundUp(tokens int) int {
	return (tokens + c.block - 1) / c.block * c.block
}

// chainNames returns a name for each part of a chain. The name consists of the model, the preceding
// parts and the part itself.
func chainNames(model string, chain []promptPart) []string {
	names := make([]string, 0, len(chain))
	name := model
	for _, element := range chain {
		name += "/" + element.id
		names = append(names, name)
	}
	return names
}

// missingTokens returns how many tokens of a chain are not cached: the tokens of the first missing
// part and of all parts after it.
func (c *prefixCache) missingTokens(model string, chain []promptPart) int {
	tokens, broken := 0, false
	for position, name := range chainNames(model, chain) {
		if c.parts[name] == nil {
			broken = true
		}
		if broken {
			tokens += chain[position].tokens
		}
	}
	return tokens
}

// pinnedTokens returns the number of tokens that can't be evicted.
func (c *prefixCache) pinnedTokens() int {
	pinned := c.reservedTokens
	for _, entry := range c.parts {
		if entry.pins > 0 {
			pinned += c.roundUp(entry.tokens)
		}
	}
	return pinned
}

// pin pins the parts of a chain for one request and allocates those that are missing. It reports
// whether there was enough memory.
func (c *prefixCache) pin(model string, chain []promptPart) ([]*prefixPart, bool) {
	var pinned []*prefixPart
	var parent *prefixPart
	names := chainNames(model, chain)
	// Cached parts are pinned first, so that they aren't evicted to make room for the others.
	for _, name := range names {
		entry := c.parts[name]
		if entry == nil {
			break
		}
		entry.pins++
		pinned = append(pinned, entry)
		parent = entry
	}
	for position := len(pinned); position < len(chain); position++ {
		needed := c.roundUp(chain[position].tokens)
		if !c.evict(needed) {
			c.unpin(pinned)
			return nil, false
		}
		entry := &prefixPart{name: names[position], tokens: chain[position].tokens, pins: 1, parent: parent}
		if parent != nil {
			parent.children++
		}
		c.parts[entry.name] = entry
		c.cached += needed
		pinned = append(pinned, entry)
		parent = entry
	}
	return pinned, true
}

// unpin unpins parts. They stay cached until their memory is needed.
func (c *prefixCache) unpin(pinned []*prefixPart) {
	for _, entry := range pinned {
		c.clock++
		entry.pins--
		entry.lastUsed = c.clock
	}
}

// dropIncomplete removes the parts of a request whose prefill was not complete, except those that
// other requests use or that precede other cached parts.
func (c *prefixCache) dropIncomplete(pinned []*prefixPart) {
	for position := len(pinned) - 1; position >= 0; position-- {
		if entry := pinned[position]; entry.pins == 0 && entry.children == 0 && c.parts[entry.name] == entry {
			c.remove(entry)
		}
	}
}

// remove removes a part from the cache.
func (c *prefixCache) remove(entry *prefixPart) {
	delete(c.parts, entry.name)
	c.cached -= c.roundUp(entry.tokens)
	if entry.parent != nil {
		entry.parent.children--
	}
}

// evict evicts the least recently used parts, the last part of a chain first, until the needed
// memory is free. It reports whether that succeeded.
func (c *prefixCache) evict(needed int) bool {
	for c.capacity-c.cached-c.reservedTokens < needed {
		var oldest *prefixPart
		for _, entry := range c.parts {
			if entry.pins == 0 && entry.children == 0 && (oldest == nil || entry.lastUsed < oldest.lastUsed) {
				oldest = entry
			}
		}
		if oldest == nil {
			return false
		}
		c.remove(oldest)
	}
	return true
}

// reserve reserves memory for a running request's own tokens, and reports whether there was enough.
func (c *prefixCache) reserve(needed int) bool {
	if !c.evict(needed) {
		return false
	}
	c.reservedTokens += needed
	return true
}
