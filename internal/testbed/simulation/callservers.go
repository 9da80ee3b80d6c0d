package simulation

import (
	"net/http"
	"time"

	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/scheduler"
	"seamloom.example/seamloom/internal/testbed/fleet"
)

// callServer is the part of a simulated model server that serves opaque calls; the engine serves
// requests in seamloom's own protocol. A prefill server prefills prompts, a decode server generates streams.
type callServer struct {
	world *World
	name  string
	// prefilling counts the prompts that are being prefilled, running the streams that are being
	// generated.
	prefilling, running int
	handles             map[string]*callMemory
}

// callMemory is a prompt's memory that waits for a decode server to fetch it.
type callMemory struct {
	id      string
	expires time.Duration
}

// The capacities and times of the simulated server.
const (
	maxCallPrefills          = 8
	maxCallRuns              = 64
	callTokensPerMillisecond = 50
	callChunkInterval        = 8 * time.Millisecond
	callHandleLifetime       = 5 * time.Second
	misdirected              = http.StatusMisdirectedRequest
	callFetchTime            = 3 * time.Millisecond
	// callPreemption is the pause of a stream whose call is put back and read again. One chunk in callPreemptionOdds
	// comes after such a pause.
	callPreemption     = 1300 * time.Millisecond
	callPreemptionOdds = 2000
)

// callRefusal is a server's statement that it did not begin a call and never will.
type callRefusal struct{ status int }

// callPrefilled is the response to a prefill: the handle of the prompt's memory.
type callPrefilled struct{ handle string }

// callChunkSent is one event of a stream.
type callChunkSent struct {
	id     string
	number int
}

// callStreamEnd is the end of a complete stream.
type callStreamEnd struct{}

// prefill prefills a prompt and keeps its memory. name is the server that the request is addressed to.
func (c *callServer) prefill(engine *fleet.Engine, connection *fleet.Connection, tracked *trackedCall, name string) any {
	switch {
	case name != c.name || engine.Role() != "prefill":
		return callRefusal{misdirected}
	case c.prefilling >= maxCallPrefills:
		return callRefusal{http.StatusServiceUnavailable}
	}
	c.prefilling++
	defer func() { c.prefilling-- }()
	if !connection.Wait(time.Duration(tracked.call.PromptTokens/callTokensPerMillisecond) * time.Millisecond) {
		return nil
	}
	handle := c.world.nonce()
	c.handles[handle] = &callMemory{id: tracked.call.ID, expires: c.world.now + callHandleLifetime}
	return callPrefilled{handle}
}

// callRun is a router's request to the server that generates a call's stream.
type callRun struct {
	call *trackedCall
	// name is the server that the request is addressed to.
	name string
	// source is the server that has the prompt's memory; nil means that the server that gets the
	// request prefills the prompt itself.
	source *scheduler.Source
	// last is the number of the last event that the client has received.
	last int
}

// run generates a stream from the event after the last one that the client has received.
func (c *callServer) run(
	engine *fleet.Engine,
	connection *fleet.Connection,
	request callRun,
	send func(any) bool,
) any {
	switch {
	case request.name != c.name || engine.Role() != "decode":
		return callRefusal{misdirected}
	case c.running >= maxCallRuns:
		return callRefusal{http.StatusServiceUnavailable}
	}
	c.running++
	defer func() { c.running-- }()
	if request.source != nil {
		source := c.world.callServerAt(request.source.Address)
		memory := (*callMemory)(nil)
		if source != nil && !c.world.link(c.name, source.name).cut {
			memory = source.handles[request.source.Handle]
		}
		if !connection.Wait(callFetchTime) {
			return nil
		}
		if c.world.random.IntN(200) == 0 {
			memory = nil
		}
		if memory == nil || memory.expires < c.world.now || source.handles[request.source.Handle] == nil {
			c.world.encounter("a call's prompt memory was unavailable")
			return callRefusal{http.StatusServiceUnavailable}
		}
		delete(source.handles, request.source.Handle)
		if memory.id != request.call.call.ID {
			c.world.calls.violate("%s was decoded from the prompt memory of %s", request.call.call.ID, memory.id)
		}
	}
	request.call.recordRun(c.name)
	if c.world.random.IntN(100) == 0 {
		c.world.encounter("a call broke after its start and before its first event")
		return nil
	}
	if request.source == nil && !connection.Wait(time.Duration(2*request.call.call.PromptTokens/callTokensPerMillisecond)*time.Millisecond) {
		return nil
	}
	for number := request.last + 1; number <= request.call.chunks; number++ {
		for engine.Unresponsive() && connection.Wait(time.Second) {
		}
		if c.world.random.IntN(callPreemptionOdds) == 0 {
			c.world.encounter("a server preempted a call within its stream")
			if !connection.Wait(callPreemption) {
				return nil
			}
		}
		if !connection.Wait(callChunkInterval) || !send(callChunkSent{request.call.call.ID, number}) {
			return nil
		}
	}
	return callStreamEnd{}
}

// callServerAt returns the running server at an address, or nil.
func (w *World) callServerAt(address string) *callServer {
	server := w.servers[w.nameAt(address)]
	if server == nil || server.incarnation.ended || server.incarnation.address != address {
		return nil
	}
	return server.calls
}

// send sends a call to a server and puts the server's messages into the attempt's pipe. It
// returns nil only if nothing was sent.
func (c *callExchange) send(
	s membership.Server,
	serve func(server *callServer, engine *fleet.Engine, connection *fleet.Connection, send func(any) bool) any,
) *callAttempt {
	world, router := c.incarnation.world, c.incarnation
	to := world.nameAt(s.Address)
	attempt := &callAttempt{replies: newPipe(world, to, router.name, router)}
	arrive := func() {
		server := world.servers[to]
		if server == nil || server.incarnation.ended || server.incarnation.address != s.Address {
			attempt.refused = true
			attempt.replies.disconnect()
			return
		}
		conn := fleet.NewConnection(server.incarnation)
		forgetServer := server.incarnation.onEnd(attempt.replies.disconnect)
		attempt.closeServerSide = func() { world.carry(router.name, to, server.incarnation, conn.Close) }
		forgetRouter := router.onEnd(attempt.closeServerSide)
		server.incarnation.Go(func() {
			defer forgetRouter()
			if server.engine.Unresponsive() {
				conn.Wait(time.Minute)
				return
			}
			answer := serve(server.calls, server.engine, conn,
				func(message any) bool { return !attempt.stopped && attempt.replies.put(message) })
			forgetServer()
			switch {
			case answer == nil:
				attempt.replies.disconnect()
			case world.loseAnswers > 0 && world.random.Float64() < world.loseAnswers:
				world.encounter("a call's reply lost after the work was done")
				attempt.replies.disconnect()
			default:
				attempt.replies.put(answer)
			}
		})
	}
	if !world.carry(router.name, to, nil, arrive) {
		if world.random.IntN(2) == 0 {
			// The connection did not come up.
			router.NewCond().Wait(300*time.Millisecond, never)
			return nil
		}
		world.encounter("a call lost on an open connection")
	}
	return attempt
}

// callAttempt is one attempt to run a call at a server.
type callAttempt struct {
	replies *pipe
	// refused means that the connection was refused.
	refused bool
	// stopped means that the router has closed its side of the connection.
	stopped bool
	// resumes means that the attempt resumes a stream, firstByte is when its first message arrived.
	resumes   bool
	firstByte time.Time
	// closeServerSide closes the server's side of the connection.
	closeServerSide func()
}

// stop closes the router's side of the connection.
func (c *callAttempt) stop() {
	c.stopped = true
	if c.closeServerSide != nil {
		c.closeServerSide()
	}
}
