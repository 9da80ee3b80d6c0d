package simulation

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/dataplane"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/scheduler"
	"seamloom.example/seamloom/internal/testbed/fleet"
)

// CallCounter is what became of a day's opaque calls.
type CallCounter struct {
	Sent, Complete, Refused, Failed, Broken int
	// Runs counts what servers began, Sendings what reached them.
	Runs       int
	Violations []string
	// Last counts the calls of the day's last seconds, Returned those of them that
	// were complete.
	Last, Returned int
}

func (c *CallCounter) violate(format string, values ...any) {
	c.Violations = append(c.Violations, fmt.Sprintf(format, values...))
}

// worldCall is one opaque call, as its origin knows it.
type worldCall struct {
	world      *World
	call       *scheduler.Call
	chunks     int
	idempotent bool
	runs       int
	// promised tells that the origin was told that the call never runs.
	promised bool
}

// ran notes that a server began the call.
func (w *worldCall) ran(s string) {
	w.runs++
	w.world.calls.Runs++
	if w.runs > 1 && !w.idempotent {
		w.world.calls.violate("%s runs once more, at %s", w.call.ID, s)
	}
	if w.promised {
		w.world.calls.violate("%s was promised never to run and runs at %s", w.call.ID, s)
	}
}

const (
	callLimit  = 8 * time.Second
	callMargin = 60 * time.Millisecond
)

// callRoutes is the part of a configuration's routes that serves opaque calls: streams
// that may go on elsewhere, and such that may not.
func (w *World) callRoutes() string {
	text := ""
	for _, resumable := range []bool{false, true} {
		name := map[bool]string{false: "once", true: "again"}[resumable]
		text += `"calls-` + name + `":{"match":{"host":"calls","path_prefix":"/` + name + `/"},"calls":{"shares":[{"service":"` + w.deployment.Short.Service +
			`"}],"limit_milliseconds":` + strconv.Itoa(int(callLimit/time.Millisecond)) + `,"aim_milliseconds":500,"gap_milliseconds":250,"tries":2,"streams":true,"sticky":true,"resumable":` +
			strconv.FormatBool(resumable) + `}},`
	}
	return text
}

// prepareCalls gives a router what serves opaque calls, where the world has them.
func (w *World) prepareCalls(m *machine, begun *incarnation, options *dataplane.Options) {
	m.calls = nil
	if !w.settings.Calls {
		return
	}
	options.CallService = func(deciding *scheduler.Scheduler) dataplane.CallService {
		m.calls = dataplane.NewCalls(begun, deciding, func([]membership.Server) {})
		return m.calls
	}
}

// originsOfCalls send opaque calls until the moment.
func (w *World) originsOfCalls(until time.Duration) {
	for number := 0; w.now < until; number++ {
		w.outside.NewCond().Wait(min(time.Second, time.Duration(w.random.ExpFloat64()/20*float64(time.Second))), never)
		c := &worldCall{world: w, idempotent: w.random.IntN(2) == 0, chunks: 3 + w.random.IntN(40)}
		c.call = &scheduler.Call{
			ID:           "call-" + strconv.Itoa(number),
			Host:         "calls",
			Path:         "/once/x",
			PromptTokens: 100 + w.random.IntN(12_000),
			OutputTokens: 400,
			Segments:     []scheduler.Segment{{ID: 1, Tokens: 50}, {ID: uint64(10 + w.random.IntN(30)), Tokens: 40}, {ID: uint64(1000 + number), Tokens: 10}},
		}
		if c.idempotent {
			c.call.Path = "/again/x"
		}
		zone := w.deployment.Zones[w.random.IntN(len(w.deployment.Zones))]
		last := w.now > until-5*time.Second
		w.outside.Go(func() { w.clientOfCall(c, zone, last) })
	}
}

// clientOfCall sends one call to a router and compares what comes back with what ran.
func (w *World) clientOfCall(c *worldCall, zone string, last bool) {
	m := w.routerFor(zone)
	if m == nil || m.calls == nil {
		return
	}
	w.calls.Sent++
	if last {
		w.calls.Last++
	}
	e := w.sendCall(m, c)
	leaves := w.random.IntN(30) == 0
	reply := callReply{call: c, last: last}
	for {
		message, found := e.replies.take(callLimit+3*time.Second, never)
		if !found || leaves && reply.chunks > 1 {
			e.left = true
			if e.under != nil {
				e.under.replies.cond.Broadcast()
			}
			w.calls.Broken++
			return
		}
		if over := reply.take(message); over {
			return
		}
	}
}

// sendCall brings a call to a router, which serves it in a thread of its own.
func (w *World) sendCall(m *machine, c *worldCall) *callExchange {
	there, calls := m.incarnation, m.calls
	e := &callExchange{incarnation: there, call: c, replies: newPipe(w, m.name, "outside", w.outside)}
	w.carry("outside", m.name, nil, func() {
		if there.ended {
			e.replies.disconnect()
			return
		}
		forget := there.onEnd(e.replies.disconnect)
		w.after(0, there, func() {
			there.Go(func() {
				defer forget()
				c.call.Deadline = there.Now().Add(callLimit)
				calls.Serve(c.call, e)
				e.replies.put(callOver{})
			})
		})
	})
	return e
}

// callReply is what a call's origin has received so far.
type callReply struct {
	call   *worldCall
	chunks int
	// last tells that the call is one of the day's last seconds.
	last bool
}

// take checks and counts one message; over tells that it was the last.
func (r *callReply) take(message any) (over bool) {
	c, counter := r.call, r.call.world.calls
	switch m := message.(type) {
	case callChunkSent:
		r.chunks++
		if m.id != c.call.ID || m.number != r.chunks {
			counter.violate("%s got piece %d of %s in the place of %d", c.call.ID, m.number, m.id, r.chunks)
		}
	case callStreamEnd:
		if r.chunks != c.chunks {
			counter.violate("%s is complete with %d pieces of %d", c.call.ID, r.chunks, c.chunks)
		}
		counter.Complete++
		if r.last {
			counter.Returned++
		}
	case dataplane.Refusal:
		if m.Status == http.StatusBadGateway || m.Status == http.StatusGatewayTimeout {
			counter.Failed++
			break
		}
		counter.Refused++
		c.promised = true
		if c.runs > 0 {
			counter.violate("%s was refused with %d and had run", c.call.ID, m.Status)
		}
	case callOver:
		return true
	}
	return false
}

// callOver is the end of what a router does for a call.
type callOver struct{}

// callExchange is one call between its origin and the servers, over the world's links.
type callExchange struct {
	incarnation *incarnation
	call        *worldCall
	replies     *pipe
	under       *callSending
	passed      int
	refusal     *callRefusal
	left        bool
}

// wait takes the next message of a sending within a patience.
func (c *callExchange) wait(sending *callSending, patience time.Duration) (any, bool) {
	return sending.replies.take(max(patience, time.Millisecond), func() bool { return c.left })
}

// patience is how long a decision lets its server say nothing.
func (c *callExchange) patience(decision scheduler.Decision) time.Duration {
	left := decision.Deadline.Sub(c.incarnation.Now()) + callMargin
	if decision.ResponseTimeout > 0 {
		left = min(left, decision.ResponseTimeout)
	}
	return left
}

// lost is the result of a sending that brought nothing usable.
func (c *callExchange) lost(sending *callSending) scheduler.Result {
	switch {
	case c.left:
		return scheduler.ClientGone
	case sending.refused:
		return scheduler.Unreachable
	case c.passed > 0:
		return scheduler.Interrupted
	}
	return scheduler.TimedOut
}

// refused is the result of a server's promise.
func (c *callExchange) refused(said callRefusal) scheduler.Outcome {
	c.refusal = &said
	if said.status == misdirected {
		return scheduler.Outcome{Result: scheduler.Misdirected, Status: said.status}
	}
	return scheduler.Outcome{Result: scheduler.NotStarted, Status: said.status}
}

// Read has a server read the prompt.
func (c *callExchange) Read(decision scheduler.Decision) scheduler.Outcome {
	sending := c.send(decision.Server,
		func(there *callServer, engine *fleet.Engine, connection *fleet.Connection, _ func(any) bool) any {
			return there.read(engine, connection, c.call, decision.Server.Name)
		})
	if sending == nil {
		return scheduler.Outcome{Result: scheduler.Unreachable}
	}
	c.under = sending
	defer sending.stop()
	message, found := c.wait(sending, c.patience(decision))
	switch said := message.(type) {
	case callRead:
		return scheduler.Outcome{Result: scheduler.Complete, Handle: said.handle, FirstByte: c.incarnation.Now()}
	case callRefusal:
		return c.refused(said)
	}
	if !found && !sending.refused && !c.left {
		return scheduler.Outcome{Result: scheduler.TimedOut}
	}
	return scheduler.Outcome{Result: c.lost(sending)}
}

// Run has a server make the answer and passes it on.
func (c *callExchange) Run(_ *config.CallRoute, decision scheduler.Decision, began func()) scheduler.Outcome {
	last := c.passed
	sending := c.send(decision.Server,
		func(there *callServer, engine *fleet.Engine, connection *fleet.Connection, send func(any) bool) any {
			return there.run(engine, connection, callRun{
				call:   c.call,
				name:   decision.Server.Name,
				source: decision.Source,
				last:   last,
			}, send)
		})
	if sending == nil {
		return scheduler.Outcome{Result: scheduler.Unreachable}
	}
	c.under = sending
	defer sending.stop()
	o := scheduler.Outcome{}
	patience := c.patience(decision)
	for {
		message, found := c.wait(sending, patience)
		if !found {
			o.Result = c.lost(sending)
			return o
		}
		if o.FirstByte.IsZero() {
			if last > 0 {
				c.incarnation.world.encounter("a stream of a call that went on elsewhere")
			}
			o.FirstByte = c.incarnation.Now()
			began()
		}
		switch said := message.(type) {
		case callChunkSent:
			c.passed = said.number
			if !c.replies.put(said) {
				o.Result = scheduler.ClientGone
				return o
			}
			patience = decision.Deadline.Sub(c.incarnation.Now()) + callMargin
			if decision.StreamTimeout > 0 {
				patience = min(patience, decision.StreamTimeout)
			}
		case callRefusal:
			return c.refused(said)
		case callStreamEnd:
			c.replies.put(said)
			o.Result = scheduler.Complete
			return o
		}
	}
}

// Refuse ends the call with a word of the router's own.
func (c *callExchange) Refuse(refusal dataplane.Refusal) { c.replies.put(refusal) }

// Through passes a server's promise on.
func (c *callExchange) PassThrough() bool {
	if c.refusal == nil || c.passed > 0 {
		return false
	}
	c.replies.put(dataplane.Refusal{Status: c.refusal.status})
	return true
}

// Break ends the answer without its end.
func (c *callExchange) Break() { c.replies.disconnect() }

// OnGiveUp takes no notice.
func (c *callExchange) OnGiveUp(scheduler.Reason) {}

// Free gives a prompt's memory back.
func (c *callExchange) Free(source scheduler.Source) {
	world, to := c.incarnation.world, c.incarnation.world.nameAt(source.Address)
	world.carry(c.incarnation.name, to, nil, func() {
		if there := world.callServerAt(source.Address); there != nil {
			delete(there.handles, source.Handle)
		}
	})
}
