package dataplane

import (
	"sync"

	"seamloom.example/seamloom/internal/auction"
	"seamloom.example/seamloom/internal/runtime"
)

// stream carries one request's decisions to the thread that answers its
// origin. It gives chunks in their order and the final line after them all,
// whichever threads they came from.
type stream struct {
	mutex      sync.Mutex
	chunks     map[int]auction.Decision
	final      *auction.Decision
	sent       int
	clientGone bool
	cond       runtime.Cond
}

func newStream(rt runtime.Runtime) *stream {
	return &stream{chunks: map[int]auction.Decision{}, cond: rt.NewCond()}
}

func (s *stream) put(decision auction.Decision) {
	s.mutex.Lock()
	if decision.Kind == auction.SendChunk {
		s.chunks[decision.Chunk] = decision
	} else {
		final := decision
		s.final = &final
	}
	s.mutex.Unlock()
	s.cond.Broadcast()
}

// leave notes that the origin is gone.
func (s *stream) markClientGone() {
	s.mutex.Lock()
	s.clientGone = true
	s.mutex.Unlock()
	s.cond.Broadcast()
}

// news tells whether there is anything to do for the thread that answers.
func (s *stream) ready() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_, found := s.chunks[s.sent+1]
	return found || s.clientGone || (s.final != nil && s.sent >= s.final.Chunks)
}

func (s *stream) isClientGone() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.clientGone
}

// next gives the next decision that may be sent, if it is there.
func (s *stream) next() (auction.Decision, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if decision, found := s.chunks[s.sent+1]; found {
		delete(s.chunks, decision.Chunk)
		s.sent++
		return decision, true
	}
	if s.final != nil && s.sent >= s.final.Chunks {
		return *s.final, true
	}
	return auction.Decision{}, false
}
