package simulation

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"seamloom.example/seamloom/internal/dataplane"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/scheduler"
)

// CallCounter counts the outcomes of a day's opaque calls. Failed counts the calls that ended with
// status 502 or 504, Refused those that a router or a server refused with another status, and Broken
// those whose client disconnected or did not receive the end of the reply.
type CallCounter struct {
	Sent, Complete, Refused, Failed, Broken int
	// Runs counts the calls that servers began to run.
	Runs       int
	Violations []string
	// FinalSent counts the calls sent in the last seconds of the traffic, FinalComplete those of them
	// that completed.
	FinalSent, FinalComplete int
}

// violate records a violation.
func (c *CallCounter) violate(format string, values ...any) {
	c.Violations = append(c.Violations, fmt.Sprintf(format, values...))
}

// trackedCall is one opaque call and the state that the checks of its runs and its reply need.
type trackedCall struct {
	world *World
	call  *scheduler.Call
	// chunks is the number of chunks of the complete stream.
	chunks     int
	idempotent bool
	// runs counts the runs that servers have begun.
	runs int
	// refused means that the client was told that no server runs the call.
	refused bool
}

// recordRun counts a run of the call at a server and checks that the run was allowed.
func (c *trackedCall) recordRun(server string) {
	c.runs++
	c.world.calls.Runs++
	if c.runs > 1 && !c.idempotent {
		c.world.calls.violate("%s runs a second time, at %s", c.call.ID, server)
	}
	if c.refused {
		c.world.calls.violate("%s was refused and then runs at %s", c.call.ID, server)
	}
}

const (
	// callLimit is the time limit of every call.
	callLimit = 8 * time.Second
	// callMargin is how long a router still waits for a server's message after the deadline of a
	// decision.
	callMargin = 60 * time.Millisecond
)

// callRoutes returns the routes for opaque calls as a part of a configuration. The streams of the
// route "calls-again" can be resumed at another server; those of the route "calls-once" can't.
func (w *World) callRoutes() string {
	text := ""
	for _, resumable := range []bool{false, true} {
		name := map[bool]string{false: "once", true: "again"}[resumable]
		text += `"calls-` + name + `":{"match":{"host":"calls","path_prefix":"/` + name +
			`/"},"calls":{"shares":[{"service":"` + w.deployment.Short.Service +
			`"}],"limit_milliseconds":` + strconv.Itoa(int(callLimit/time.Millisecond)) +
			`,"aim_milliseconds":500,"gap_milliseconds":250,"tries":2,"streams":true,"sticky":true,"resumable":` +
			strconv.FormatBool(resumable) + `}},`
	}
	return text
}

// prepareCalls sets up a router's service for opaque calls if the world's settings ask for calls.
func (w *World) prepareCalls(m *machine, process *incarnation, options *dataplane.Options) {
	m.calls = nil
	if !w.settings.Calls {
		return
	}
	options.CallService = func(callScheduler *scheduler.Scheduler) dataplane.CallService {
		m.calls = dataplane.NewCalls(process, callScheduler, func([]membership.Server) {})
		return m.calls
	}
}

// runCallClients starts clients that send opaque calls until the given time.
func (w *World) runCallClients(until time.Duration) {
	for number := 0; w.now < until; number++ {
		w.outside.NewCond().Wait(min(time.Second, time.Duration(w.random.ExpFloat64()/20*float64(time.Second))), never)
		c := &trackedCall{world: w, idempotent: w.random.IntN(2) == 0, chunks: 3 + w.random.IntN(40)}
		c.call = &scheduler.Call{
			ID:           "call-" + strconv.Itoa(number),
			Host:         "calls",
			Path:         "/once/x",
			PromptTokens: 100 + w.random.IntN(12_000),
			OutputTokens: 400,
			Segments: []scheduler.Segment{
				{ID: 1, Tokens: 50},
				{ID: uint64(10 + w.random.IntN(30)), Tokens: 40},
				{ID: uint64(1000 + number), Tokens: 10},
			},
		}
		if c.idempotent {
			c.call.Path = "/again/x"
		}
		zone := w.deployment.Zones[w.random.IntN(len(w.deployment.Zones))]
		last := w.now > until-5*time.Second
		w.outside.Go(func() { w.runCallClient(c, zone, last) })
	}
}

// runCallClient sends one call to a router and checks the reply against the runs at the servers.
func (w *World) runCallClient(c *trackedCall, zone string, last bool) {
	m := w.routerFor(zone)
	if m == nil || m.calls == nil {
		return
	}
	w.calls.Sent++
	if last {
		w.calls.FinalSent++
	}
	exchange := w.sendCall(m, c)
	disconnects := w.random.IntN(30) == 0
	reply := callReply{call: c, last: last}
	for {
		message, found := exchange.replies.receive(callLimit+3*time.Second, never)
		if !found || disconnects && reply.chunks > 1 {
			exchange.left = true
			if exchange.attempt != nil {
				exchange.attempt.replies.cond.Broadcast()
			}
			w.calls.Broken++
			return
		}
		if over := reply.take(message); over {
			return
		}
	}
}

// sendCall delivers a call to a router, which serves each call in its own goroutine.
func (w *World) sendCall(m *machine, c *trackedCall) *callExchange {
	process, calls := m.incarnation, m.calls
	exchange := &callExchange{incarnation: process, call: c, replies: newPipe(w, m.name, "outside", w.outside)}
	w.carry("outside", m.name, nil, func() {
		if process.ended {
			exchange.replies.disconnect()
			return
		}
		forget := process.onEnd(exchange.replies.disconnect)
		w.schedule(0, process, func() {
			process.Go(func() {
				defer forget()
				c.call.Deadline = process.Now().Add(callLimit)
				calls.Serve(c.call, exchange)
				if exchange.stalled != nil {
					exchange.stalled.stop()
				}
				exchange.replies.put(callOver{})
			})
		})
	})
	return exchange
}

// callReply checks the messages that a call's client receives.
type callReply struct {
	call *trackedCall
	// chunks counts the chunks received so far.
	chunks int
	// last means that the call was sent in the last seconds of the traffic.
	last bool
}

// take checks and counts one message. It returns true after the router's last message.
func (r *callReply) take(message any) (over bool) {
	c, counter := r.call, r.call.world.calls
	switch m := message.(type) {
	case callChunkSent:
		r.chunks++
		if m.id != c.call.ID || m.number != r.chunks {
			counter.violate("%s got chunk %d of %s where chunk %d was expected", c.call.ID, m.number, m.id, r.chunks)
		}
	case callStreamEnd:
		if r.chunks != c.chunks {
			counter.violate("%s is complete with %d chunks of %d", c.call.ID, r.chunks, c.chunks)
		}
		counter.Complete++
		if r.last {
			counter.FinalComplete++
		}
	case dataplane.Refusal:
		if m.Status == http.StatusBadGateway || m.Status == http.StatusGatewayTimeout {
			counter.Failed++
			break
		}
		counter.Refused++
		c.refused = true
		if c.runs > 0 {
			counter.violate("%s was refused with status %d after it had run", c.call.ID, m.Status)
		}
	case callOver:
		return true
	}
	return false
}

// callOver is the last message of a call: the router has finished with the call.
type callOver struct{}
