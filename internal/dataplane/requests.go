package dataplane

import (
	"sync"
	"time"

	"seamloom.example/seamloom/internal/auction"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/runtime"
)

// Serve serves one request and returns when its reply is over.
func (r *Router) Serve(arrival Arrival, reply Reply) {
	request := arrival.Request
	if !r.acceptsForwarding(arrival) {
		writeLine(reply, ReplyLine{Request: request.ID, Final: auction.Unknown, Type: failure.Duplicate, Detail: "this passing-on was brought before, or to another life of this courier"})
		return
	}
	s := newStream(r.runtime)
	r.mutex.Lock()
	_, busy := r.streams[request.ID]
	if !busy {
		r.streams[request.ID] = s
	}
	r.mutex.Unlock()
	if busy {
		writeLine(reply, ReplyLine{Request: request.ID, Final: auction.Refused, Type: failure.Duplicate, Detail: "the inquiry is under way"})
		return
	}
	defer func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		delete(r.streams, request.ID)
	}()
	reply.OnClientGone(s.markClientGone)
	r.Apply(auction.Event{Kind: auction.RequestArrived, Request: request})
	r.wakeTicker()
	r.answer(arrival, reply, s)
}

// answer sends the decisions on a request to its client until the final one.
func (r *Router) answer(arrival Arrival, reply Reply, s *stream) {
	request := arrival.Request
	for {
		decision, found := s.next()
		if !found {
			if s.isClientGone() {
				r.Apply(auction.Event{Kind: auction.ClientDisconnected, ID: request.ID})
				return
			}
			s.cond.Wait(time.Minute, s.ready)
			if !r.runtime.Alive() {
				// The process ends: how the run ends is not known here any more.
				if s.sent == 0 {
					writeLine(reply, ReplyLine{Request: request.ID, Final: auction.Unknown, Type: failure.Draining})
				} else {
					_ = reply.Line(ReplyLine{Request: request.ID, Final: auction.Failed, Type: failure.Draining, Chunks: s.sent}.encode())
				}
				return
			}
			continue
		}
		if decision.Kind == auction.ForwardToPeer {
			r.forward(arrival, reply)
			return
		}
		client := lineOf(decision)
		if decision.Kind == auction.SendChunk {
			if decision.Chunk == 1 {
				reply.Begin(client.Status(), 0)
			}
			if reply.Line(client.encode()) != nil {
				s.markClientGone()
			}
			continue
		}
		r.options.OnEnded(request, decision)
		if decision.Chunks > 0 {
			_ = reply.Line(client.encode())
		} else {
			writeLine(reply, client)
		}
		return
	}
}

// stream carries one request's decisions to the thread that replies to its client. It gives
// the chunks in their order and the final decision after them all, whichever threads they
// come from.
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

// markClientGone marks that the client is gone.
func (s *stream) markClientGone() {
	s.mutex.Lock()
	s.clientGone = true
	s.mutex.Unlock()
	s.cond.Broadcast()
}

// ready tells whether there is anything to do for the thread that replies.
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

// next gives the next decision to send, if it is there.
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
