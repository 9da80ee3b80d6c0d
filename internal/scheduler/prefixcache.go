package scheduler

import (
	"container/list"
	"sync"
	"sync/atomic"
)

// prefixCache is the router's model of a server's prefix cache: the segments of the prompts
// that it sent there, least recently used evicted first, as far as the server's memory goes.
type prefixCache struct {
	mutex    sync.Mutex
	segments map[uint64]*list.Element
	order    *list.List
	tokens   int
	count    atomic.Int64
}

type cachedSegment struct {
	id     uint64
	tokens int
	weight int
}

// block is how many tokens KV cache memory is allocated by.
const block = 16

// cachedTokens counts the tokens of a chain's leading segments that count as cached.
func (k *prefixCache) cachedTokens(parts []Segment) int {
	if k.count.Load() == 0 {
		return 0
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	tokens := 0
	for _, part := range parts {
		element, found := k.segments[part.ID]
		if !found || element.Value.(*cachedSegment).tokens < part.Tokens {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// add counts a prompt as used at the server just now. room is the server's memory in tokens,
// most the bound on segments; others is how many routers send such prompts there: their own
// segments evict as many as this one's.
func (k *prefixCache) add(parts []Segment, memoryTotal, others, most int) {
	if len(parts) == 0 {
		return
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.segments == nil {
		k.segments, k.order = map[uint64]*list.Element{}, list.New()
	}
	// The last segment is evicted first: a segment is of use only after those before it.
	for position := len(parts) - 1; position >= 0; position-- {
		part := parts[position]
		weight := (part.Tokens + block - 1) / block * block
		if position == len(parts)-1 {
			weight *= max(1, others)
		}
		if element, found := k.segments[part.ID]; found {
			known := element.Value.(*cachedSegment)
			k.tokens += weight - known.weight
			known.tokens, known.weight = max(known.tokens, part.Tokens), weight
			k.order.MoveToFront(element)
			continue
		}
		k.segments[part.ID] = k.order.PushFront(&cachedSegment{id: part.ID, tokens: part.Tokens, weight: weight})
		k.tokens += weight
	}
	for k.order.Len() > 0 && (k.tokens > memoryTotal || k.order.Len() > most) {
		oldest := k.order.Back()
		gone := k.order.Remove(oldest).(*cachedSegment)
		delete(k.segments, gone.id)
		k.tokens -= gone.weight
	}
	k.count.Store(int64(k.order.Len()))
}

// forget drops the segments of a prompt that was not read after all, behind the tokens that
// were cached before.
func (k *prefixCache) forget(parts []Segment, known int) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.order == nil {
		// Nothing was ever read there.
		return
	}
	at := 0
	for _, part := range parts {
		at += part.Tokens
		if element, found := k.segments[part.ID]; found && at > known {
			k.tokens -= k.order.Remove(element).(*cachedSegment).weight
			delete(k.segments, part.ID)
		}
	}
	k.count.Store(int64(k.order.Len()))
}
