package simulation

import (
	"time"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/dataplane"
	"seamloom.example/seamloom/internal/scheduler"
	"seamloom.example/seamloom/internal/testbed/fleet"
)

// callExchange carries one call between its client and the servers over the world's links.
type callExchange struct {
	incarnation *incarnation
	call        *trackedCall
	replies     *pipe
	attempt     *callAttempt
	// stalled is the attempt whose stream has stalled and may still go on; nil if there is none.
	stalled *callAttempt
	// forwarded is the number of the last chunk that was forwarded to the client.
	forwarded int
	// refusal is the last refusal of a server.
	refusal *callRefusal
	// left means that the client has disconnected.
	left bool
}

// stalledCheckInterval is how often an attempt that is to take a call over looks whether the stalled stream goes on.
const stalledCheckInterval = 5 * time.Millisecond

// wait returns the next message of an attempt, or false if none comes within the timeout, the
// connection to the server is broken, the client has disconnected, or the call's stalled stream goes on.
func (c *callExchange) wait(attempt *callAttempt, timeout time.Duration) (any, bool) {
	ends := c.incarnation.world.now + max(timeout, time.Millisecond)
	for c.stalled != nil && !c.left && !attempt.replies.broken && len(attempt.replies.waiting) == 0 {
		left := ends - c.incarnation.world.now
		if c.stalledGoesOn() || left <= 0 {
			return nil, false
		}
		attempt.replies.cond.Wait(min(stalledCheckInterval, left), func() bool {
			return len(attempt.replies.waiting) > 0 || attempt.replies.broken || c.left
		})
	}
	return attempt.replies.receive(max(ends-c.incarnation.world.now, 0), func() bool { return c.left })
}

// stalledGoesOn reports whether the call's stalled stream has a message.
func (c *callExchange) stalledGoesOn() bool {
	return c.stalled != nil && len(c.stalled.replies.waiting) > 0
}

// superseded ends an attempt that was to take the call over if the stalled stream goes on, and otherwise drops a stalled
// stream that has broken off. It returns the attempt's outcome.
func (c *callExchange) superseded(outcome scheduler.Outcome) scheduler.Outcome {
	switch {
	case c.stalled == nil || outcome.Result == scheduler.ClientGone:
	case c.stalledGoesOn():
		c.incarnation.world.encounter("a call's stalled stream went on first")
		outcome = scheduler.Outcome{Result: scheduler.Superseded}
	case c.stalled.replies.broken:
		c.stalled, outcome.StalledEnded = nil, true
	}
	return outcome
}

// takeOver ends the call's stalled stream, if there is one, because another stream has the next event. It returns false
// if the stalled stream goes on.
func (c *callExchange) takeOver() bool {
	if c.stalled == nil {
		return true
	}
	if c.stalledGoesOn() {
		return false
	}
	c.incarnation.world.encounter("a call's stalled stream was taken over")
	c.stalled.stop()
	c.stalled = nil
	return true
}

// timeout returns how long to wait for the first message of a decision's server.
func (c *callExchange) timeout(decision scheduler.Decision) time.Duration {
	timeout := decision.Deadline.Sub(c.incarnation.Now()) + callMargin
	if decision.ResponseTimeout > 0 {
		timeout = min(timeout, decision.ResponseTimeout)
	}
	return timeout
}

// lostResult returns the result of an attempt whose next message did not arrive.
func (c *callExchange) lostResult(attempt *callAttempt) scheduler.Result {
	switch {
	case c.left:
		return scheduler.ClientGone
	case attempt.refused:
		return scheduler.Unreachable
	case c.forwarded > 0:
		return scheduler.Interrupted
	}
	return scheduler.TimedOut
}

// refusalOutcome records a server's refusal and returns the attempt's outcome.
func (c *callExchange) refusalOutcome(received callRefusal) scheduler.Outcome {
	c.refusal = &received
	if received.status == misdirected {
		return scheduler.Outcome{Result: scheduler.Misdirected, Status: received.status}
	}
	return scheduler.Outcome{Result: scheduler.NotStarted, Status: received.status}
}

// Prefill sends the prompt to a server for the prefill.
func (c *callExchange) Prefill(decision scheduler.Decision) scheduler.Outcome {
	attempt := c.send(decision.Server,
		func(server *callServer, engine *fleet.Engine, connection *fleet.Connection, _ func(any) bool) any {
			return server.prefill(engine, connection, c.call, decision.Server.Name)
		})
	if attempt == nil {
		return c.superseded(scheduler.Outcome{Result: scheduler.Unreachable})
	}
	c.attempt = attempt
	defer attempt.stop()
	message, found := c.wait(attempt, c.timeout(decision))
	switch received := message.(type) {
	case callPrefilled:
		return scheduler.Outcome{Result: scheduler.Complete, Handle: received.handle, FirstByte: c.incarnation.Now()}
	case callRefusal:
		return c.superseded(c.refusalOutcome(received))
	}
	if !found && !attempt.refused && !c.left {
		return c.superseded(scheduler.Outcome{Result: scheduler.TimedOut})
	}
	return c.superseded(scheduler.Outcome{Result: c.lostResult(attempt)})
}

// Generate has a server generate the response and forwards each chunk to the client.
func (c *callExchange) Generate(_ *config.CallRoute, decision scheduler.Decision, began func()) scheduler.Outcome {
	last := c.forwarded
	attempt := c.send(decision.Server,
		func(server *callServer, engine *fleet.Engine, connection *fleet.Connection, send func(any) bool) any {
			return server.run(engine, connection, callRun{
				call:   c.call,
				name:   decision.Server.Name,
				source: decision.Source,
				last:   last,
			}, send)
		})
	if attempt == nil {
		return c.superseded(scheduler.Outcome{Result: scheduler.Unreachable})
	}
	attempt.resumes = last > 0
	return c.forward(attempt, decision, c.timeout(decision), began)
}

// ContinueStream goes on with the stream that has stalled.
func (c *callExchange) ContinueStream(decision scheduler.Decision) scheduler.Outcome {
	attempt := c.stalled
	c.stalled = nil
	if attempt == nil {
		return scheduler.Outcome{Result: scheduler.Interrupted}
	}
	c.incarnation.world.encounter("a call's stalled stream was read on")
	return c.forward(attempt, decision, c.chunkTimeout(decision), func() {})
}

// chunkTimeout returns how long to wait for the next chunk of a stream.
func (c *callExchange) chunkTimeout(decision scheduler.Decision) time.Duration {
	timeout := decision.Deadline.Sub(c.incarnation.Now()) + callMargin
	if decision.StreamTimeout > 0 {
		timeout = min(timeout, decision.StreamTimeout)
	}
	return timeout
}

// forward forwards the chunks of an attempt to the client until the stream ends or stalls. timeout limits the wait for
// the first message.
func (c *callExchange) forward(attempt *callAttempt, decision scheduler.Decision, timeout time.Duration, began func()) scheduler.Outcome {
	c.attempt = attempt
	for {
		message, found := c.wait(attempt, timeout)
		if !found && c.stalls(attempt, decision) {
			c.stalled = attempt
			return scheduler.Outcome{Result: scheduler.Stalled, FirstByte: attempt.firstByte}
		}
		if !found {
			attempt.stop()
			return c.superseded(scheduler.Outcome{Result: c.lostResult(attempt), FirstByte: attempt.firstByte})
		}
		if refusal, refused := message.(callRefusal); refused {
			attempt.stop()
			return c.superseded(c.refusalOutcome(refusal))
		}
		if !c.takeOver() {
			attempt.stop()
			return c.superseded(scheduler.Outcome{})
		}
		if attempt.firstByte.IsZero() {
			if attempt.resumes {
				c.incarnation.world.encounter("a call's stream resumed at another server")
			}
			attempt.firstByte = c.incarnation.Now()
			began()
		}
		switch received := message.(type) {
		case callChunkSent:
			c.forwarded = received.number
			if !c.replies.put(received) {
				attempt.stop()
				return scheduler.Outcome{Result: scheduler.ClientGone, FirstByte: attempt.firstByte}
			}
			timeout = c.chunkTimeout(decision)
		case callStreamEnd:
			c.replies.put(received)
			attempt.stop()
			return scheduler.Outcome{Result: scheduler.Complete, FirstByte: attempt.firstByte}
		}
	}
}

// stalls reports whether an attempt without a message in time has stalled: its stream has begun, its connection is open,
// and the deadline has not passed.
func (c *callExchange) stalls(attempt *callAttempt, decision scheduler.Decision) bool {
	begun := decision.StreamTimeout > 0 && c.forwarded > 0 && c.stalled == nil
	return begun && !c.left && !attempt.refused && !attempt.replies.broken && c.incarnation.Now().Before(decision.Deadline)
}

// Refuse ends the call with a refusal of the router itself.
func (c *callExchange) Refuse(refusal dataplane.Refusal) { c.replies.put(refusal) }

// ForwardFailure forwards the last refusal of a server to the client and returns true. It does
// nothing and returns false if no server refused the call, or if chunks were forwarded before.
func (c *callExchange) ForwardFailure() bool {
	if c.refusal == nil || c.forwarded > 0 {
		return false
	}
	c.replies.put(dataplane.Refusal{Status: c.refusal.status})
	return true
}

// Abort cuts the response off before its end.
func (c *callExchange) Abort() { c.replies.disconnect() }

// OnGiveUp does nothing.
func (c *callExchange) OnGiveUp(scheduler.Reason) {}

// ReleaseHandle has the server release the KV cache of a prefill.
func (c *callExchange) ReleaseHandle(source scheduler.Source) {
	world, to := c.incarnation.world, c.incarnation.world.nameAt(source.Address)
	world.carry(c.incarnation.name, to, nil, func() {
		if server := world.callServerAt(source.Address); server != nil {
			delete(server.handles, source.Handle)
		}
	})
}
