package hatch

import (
	"sync"

	"seamloom.example/seamloom/internal/auction"
	"seamloom.example/seamloom/internal/runtime"
)

// stream carries one inquiry's decisions to the thread that answers its
// origin. It gives pieces in their order and the final line after them all,
// whichever threads they came from.
type stream struct {
	mutex  sync.Mutex
	chunks map[int]auction.Decision
	last   *auction.Decision
	sent   int
	left   bool
	cond   runtime.Cond
}

func newStream(rt runtime.Runtime) *stream {
	return &stream{chunks: map[int]auction.Decision{}, cond: rt.NewCond()}
}

func (stream *stream) put(decision auction.Decision) {
	stream.mutex.Lock()
	if decision.Kind == auction.SendChunk {
		stream.chunks[decision.Chunk] = decision
	} else {
		final := decision
		stream.last = &final
	}
	stream.mutex.Unlock()
	stream.cond.Broadcast()
}

// leave notes that the origin is gone.
func (stream *stream) leave() {
	stream.mutex.Lock()
	stream.left = true
	stream.mutex.Unlock()
	stream.cond.Broadcast()
}

// news tells whether there is anything to do for the thread that answers.
func (stream *stream) update() bool {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	_, found := stream.chunks[stream.sent+1]
	return found || stream.left || (stream.last != nil && stream.sent >= stream.last.Chunks)
}

func (stream *stream) gone() bool {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	return stream.left
}

// next gives the next decision that may be sent, if it is there.
func (stream *stream) next() (auction.Decision, bool) {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	if decision, found := stream.chunks[stream.sent+1]; found {
		delete(stream.chunks, decision.Chunk)
		stream.sent++
		return decision, true
	}
	if stream.last != nil && stream.sent >= stream.last.Chunks {
		return *stream.last, true
	}
	return auction.Decision{}, false
}
