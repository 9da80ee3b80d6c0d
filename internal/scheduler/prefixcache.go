package scheduler

import (
	"container/list"
	"sync"
	"sync/atomic"
)

// prefixCache is the router's model of a server's prefix cache. It holds the segments of the
// prompts that the router sent to the server, as many as fit into the server's memory; the least
// recently used segment is evicted first.
type prefixCache struct {
	mutex sync.Mutex
	// segments holds the elements of order by segment ID.
	segments map[uint64]*list.Element
	// order holds each cachedSegment, the most recently used first.
	order *list.List
	// tokens is the sum of the weights of all segments.
	tokens int
	// count is the number of segments, to be read without the mutex.
	count atomic.Int64
}

// cachedSegment is a segment in a prefix cache. weight is the memory that is counted for the segment, in
// tokens: its own, rounded up to blocks, and for the last segment of a prompt also that of the other
// routers' last segments (see add).
type cachedSegment struct {
	id     uint64
	tokens int
	weight int
}

// blockTokens is the unit of KV cache memory allocation, in tokens.
const blockTokens = 16

// cachedTokens returns the number of tokens in the leading segments of a prompt that are in the cache.
func (p *prefixCache) cachedTokens(prompt []Segment) int {
	if p.count.Load() == 0 {
		return 0
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	tokens := 0
	for _, segment := range prompt {
		element, found := p.segments[segment.ID]
		if !found || element.Value.(*cachedSegment).tokens < segment.Tokens {
			break
		}
		tokens += segment.Tokens
	}
	return tokens
}

// add records that the server has just used a prompt. memoryTotal is the server's memory in
// tokens and maxSegments the maximum number of segments. routers is the number of routers that
// share the server. The last segment of a prompt is counted once for each router, because the other
// routers send prompts with different last segments, which take up as much cache memory.
func (p *prefixCache) add(prompt []Segment, memoryTotal, routers, maxSegments int) {
	if len(prompt) == 0 {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.segments == nil {
		p.segments, p.order = map[uint64]*list.Element{}, list.New()
	}
	// The loop runs backwards so that the prompt's last segment becomes the least recently used and is
	// evicted first: a segment is useful only while all segments before it are cached.
	for position := len(prompt) - 1; position >= 0; position-- {
		segment := prompt[position]
		weight := (segment.Tokens + blockTokens - 1) / blockTokens * blockTokens
		if position == len(prompt)-1 {
			weight *= max(1, routers)
		}
		if element, found := p.segments[segment.ID]; found {
			known := element.Value.(*cachedSegment)
			p.tokens += weight - known.weight
			known.tokens, known.weight = max(known.tokens, segment.Tokens), weight
			p.order.MoveToFront(element)
			continue
		}
		p.segments[segment.ID] = p.order.PushFront(&cachedSegment{id: segment.ID, tokens: segment.Tokens, weight: weight})
		p.tokens += weight
	}
	for p.order.Len() > 0 && (p.tokens > memoryTotal || p.order.Len() > maxSegments) {
		oldest := p.order.Back()
		evicted := p.order.Remove(oldest).(*cachedSegment)
		delete(p.segments, evicted.id)
		p.tokens -= evicted.weight
	}
	p.count.Store(int64(p.order.Len()))
}

// forget removes the segments of a prompt that the server did not process after all. It keeps the
// segments in the leading cachedBefore tokens, which were cached before the prompt was sent.
func (p *prefixCache) forget(prompt []Segment, cachedBefore int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.order == nil {
		// No prompt has been added yet.
		return
	}
	end := 0
	for _, segment := range prompt {
		end += segment.Tokens
		if element, found := p.segments[segment.ID]; found && end > cachedBefore {
			p.tokens -= p.order.Remove(element).(*cachedSegment).weight
			delete(p.segments, segment.ID)
		}
	}
	p.count.Store(int64(p.order.Len()))
}
