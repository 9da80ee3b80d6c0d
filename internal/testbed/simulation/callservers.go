package simulation

import (
	"net/http"
	"time"

	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/scheduler"
	"seamloom.example/seamloom/internal/testbed/fleet"
)

// callServer is what a model server does for opaque calls, beside the product's own
// orders: it reads prompts and makes streams, in the part that it has.
type callServer struct {
	world   *World
	name    string
	reading int
	running int
	handles map[string]*callMemory
}

// callMemory is a prompt's memory that waits to be taken.
type callMemory struct {
	id     string
	lapses time.Duration
}

// The stand-in's measures.
const (
	callReads     = 8
	callRuns      = 64
	callTokens    = 50 // read in a millisecond
	callChunk     = 8 * time.Millisecond
	callHandle    = 5 * time.Second
	misdirected   = http.StatusMisdirectedRequest
	callFetchTime = 3 * time.Millisecond
)

// callRefusal is a server's word that it did not begin a call and never will.
type callRefusal struct{ status int }

// callRead is the answer to a reading.
type callRead struct{ handle string }

// callChunkSent is one event of a stream, callStreamEnd its end.
type callChunkSent struct {
	id     string
	number int
}

type callStreamEnd struct{}

// read reads a prompt and keeps its memory.
func (c *callServer) read(engine *fleet.Engine, connection *fleet.Connection, w *worldCall, name string) any {
	switch {
	case name != c.name || engine.Part() != "prefill":
		return callRefusal{misdirected}
	case c.reading >= callReads:
		return callRefusal{http.StatusServiceUnavailable}
	}
	c.reading++
	defer func() { c.reading-- }()
	if !connection.Wait(time.Duration(w.call.PromptTokens/callTokens) * time.Millisecond) {
		return nil
	}
	handle := c.world.nonce()
	c.handles[handle] = &callMemory{id: w.call.ID, lapses: c.world.now + callHandle}
	return callRead{handle}
}

// callRun is what a router orders of the server that makes a call's stream.
type callRun struct {
	call *worldCall
	// name is the server that the router means.
	name string
	// source is where the prompt's memory lies; nil means that this server reads it.
	source *scheduler.Source
	// last is the number of the event that the origin had last.
	last int
}

// run makes a stream, behind the event that its origin had last.
func (c *callServer) run(
	engine *fleet.Engine,
	connection *fleet.Connection,
	order callRun,
	send func(any) bool,
) any {
	switch {
	case order.name != c.name || engine.Part() != "decode":
		return callRefusal{misdirected}
	case c.running >= callRuns:
		return callRefusal{http.StatusServiceUnavailable}
	}
	c.running++
	defer func() { c.running-- }()
	if order.source != nil {
		there := c.world.callServerAt(order.source.Address)
		memory := (*callMemory)(nil)
		if there != nil && !c.world.link(c.name, there.name).cut {
			memory = there.handles[order.source.Handle]
		}
		if !connection.Wait(callFetchTime) {
			return nil
		}
		if c.world.random.IntN(200) == 0 {
			memory = nil
		}
		if memory == nil || memory.lapses < c.world.now || there.handles[order.source.Handle] == nil {
			c.world.encounter("a call's memory that could not be had")
			return callRefusal{http.StatusServiceUnavailable}
		}
		delete(there.handles, order.source.Handle)
		if memory.id != order.call.call.ID {
			c.world.calls.violate("%s goes on from the memory of %s", order.call.call.ID, memory.id)
		}
	}
	order.call.ran(c.name)
	if c.world.random.IntN(100) == 0 {
		c.world.encounter("a call that began and broke before its first event")
		return nil
	}
	if order.source == nil && !connection.Wait(time.Duration(2*order.call.call.PromptTokens/callTokens)*time.Millisecond) {
		return nil
	}
	for number := order.last + 1; number <= order.call.chunks; number++ {
		for engine.Dark() && connection.Wait(time.Second) {
		}
		if !connection.Wait(callChunk) || !send(callChunkSent{order.call.call.ID, number}) {
			return nil
		}
	}
	return callStreamEnd{}
}

// callServerAt is the server that has an address now.
func (w *World) callServerAt(address string) *callServer {
	there := w.servers[w.nameAt(address)]
	if there == nil || there.incarnation.ended || there.incarnation.address != address {
		return nil
	}
	return there.calls
}

// send sends a call to a server and gives what it answers to the pipe; nil means
// that certainly nothing went.
func (c *callExchange) send(
	s membership.Server,
	serve func(there *callServer, engine *fleet.Engine, connection *fleet.Connection, send func(any) bool) any,
) *callSending {
	world, here := c.incarnation.world, c.incarnation
	to := world.nameAt(s.Address)
	sending := &callSending{replies: newPipe(world, to, here.name, here)}
	arrive := func() {
		there := world.servers[to]
		if there == nil || there.incarnation.ended || there.incarnation.address != s.Address {
			sending.refused = true
			sending.replies.disconnect()
			return
		}
		conn := fleet.NewConnection(there.incarnation)
		forgetServer := there.incarnation.onEnd(sending.replies.disconnect)
		sending.hangUp = func() { world.carry(here.name, to, there.incarnation, conn.Close) }
		forgetRouter := here.onEnd(sending.hangUp)
		there.incarnation.Go(func() {
			defer forgetRouter()
			if there.engine.Dark() {
				conn.Wait(time.Minute)
				return
			}
			answer := serve(there.calls, there.engine, conn,
				func(message any) bool { return !sending.quit && sending.replies.put(message) })
			forgetServer()
			switch {
			case answer == nil:
				sending.replies.disconnect()
			case world.loseAnswers > 0 && world.random.Float64() < world.loseAnswers:
				world.encounter("a call's answer lost after the work")
				sending.replies.disconnect()
			default:
				sending.replies.put(answer)
			}
		})
	}
	if !world.carry(here.name, to, nil, arrive) {
		if world.random.IntN(2) == 0 {
			// The connection did not come up.
			here.NewCond().Wait(300*time.Millisecond, never)
			return nil
		}
		world.encounter("a call lost on a circuit that was up")
	}
	return sending
}

// callSending is one sending of a call.
type callSending struct {
	replies *pipe
	refused bool
	quit    bool
	hangUp  func()
}

func (c *callSending) stop() {
	c.quit = true
	if c.hangUp != nil {
		c.hangUp()
	}
}
