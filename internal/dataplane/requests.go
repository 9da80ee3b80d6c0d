package dataplane

import (
	"sync"
	"time"

	"seamloom.example/seamloom/internal/auction"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/runtime"
)

// Serve serves one request. It returns when the reply is complete or the client has disconnected.
func (r *Router) Serve(arrival Arrival, reply Reply) {
	request := arrival.Request
	if !r.acceptsForwarding(arrival) {
		writeLine(reply, ReplyLine{
			Request: request.ID,
			Final:   auction.Unknown,
			Type:    failure.Duplicate,
			Detail:  "this forwarding was delivered before, or is meant for another incarnation of this router",
		})
		return
	}
	s := newStream(r.runtime)
	r.mutex.Lock()
	_, duplicate := r.streams[request.ID]
	if !duplicate {
		r.streams[request.ID] = s
	}
	r.mutex.Unlock()
	if duplicate {
		writeLine(reply, ReplyLine{
			Request: request.ID,
			Final:   auction.Refused,
			Type:    failure.Duplicate,
			Detail:  "a request with this ID is in flight",
		})
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

// answer sends the decisions on a request to its client, up to the final one or until the client
// disconnects. If the decision is to forward the request, answer forwards it and relays the reply.
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
				// The process is ending, so the outcome of the run is unknown here.
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
		line := lineOf(decision)
		if decision.Kind == auction.SendChunk {
			if decision.Chunk == 1 {
				reply.Begin(line.Status(), 0)
			}
			if reply.Line(line.encode()) != nil {
				s.markClientGone()
			}
			continue
		}
		r.options.OnEnded(request, decision)
		if decision.Chunks > 0 {
			_ = reply.Line(line.encode())
		} else {
			writeLine(reply, line)
		}
		return
	}
}

// stream passes one request's decisions to the thread that replies to its client. Any thread
// may put decisions; next returns the chunks in order and then the final decision.
type stream struct {
	mutex sync.Mutex
	// chunks holds the chunks that next has not returned yet, by number.
	chunks map[int]auction.Decision
	final  *auction.Decision
	// sent is the number of the last chunk that next has returned.
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

// markClientGone records that the client has disconnected.
func (s *stream) markClientGone() {
	s.mutex.Lock()
	s.clientGone = true
	s.mutex.Unlock()
	s.cond.Broadcast()
}

// ready reports whether next has a decision to return or the client has disconnected.
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

// next returns the next decision for the client, or false if it is not available yet.
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
