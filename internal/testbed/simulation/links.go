package simulation

import (
	"time"

	"seamloom.example/seamloom/internal/failure"
)

// link is the connection between two machines in one direction.
type link struct {
	// regionDelay is the additional latency between two regions.
	regionDelay time.Duration
	// cut is set while all messages over the link are lost.
	cut bool
	// delay is the additional latency of a fault.
	delay time.Duration
	// loss and duplicate are the probabilities that a message is lost or delivered twice.
	loss      float64
	duplicate float64
}

// link returns the link between two machines in one direction.
func (w *World) link(from, to string) *link {
	ends := [2]string{from, to}
	found := w.links[ends]
	if found == nil {
		found = &link{regionDelay: w.regionDelay(from, to)}
		w.links[ends] = found
	}
	return found
}

// heal removes all faults from all links, and ends slow dials.
func (w *World) heal() {
	w.links = map[[2]string]*link{}
	w.slowDials = 0
}

// latency returns how long one message takes over a link.
func (w *World) latency(l *link) time.Duration {
	return time.Duration(150+w.random.IntN(1200))*time.Microsecond + l.delay + l.regionDelay
}

// carry sends one message over a link: it schedules callback in owner's process (nil: the world itself) after the
// link's latency. If the link drops the message, carry returns false.
func (w *World) carry(from, to string, owner *incarnation, callback func()) bool {
	l := w.link(from, to)
	if l.cut || (l.loss > 0 && w.random.Float64() < l.loss) {
		return false
	}
	w.schedule(w.latency(l), owner, callback)
	return true
}

// dialTimeout is the timeout for opening a connection to a machine that is off.
const dialTimeout = time.Second

// call is one remote procedure call in progress between two nodes.
type call struct {
	client   *incarnation
	from, to string
	cond     *cond
	done     bool
	content  any
	err      error
}

// broken fails the call because the connection broke. If the link to the client is cut, the client gets
// no error and waits until its timeout.
func (c *call) broken() { c.fail("the connection broke") }

// fail sends an error to the client over the link. The link may lose the error.
func (c *call) fail(detail string) {
	c.client.world.carry(c.to, c.from, c.client, func() {
		c.finish(nil, failure.New(failure.Unreachable, detail))
	})
}

// finish ends the call with a result, unless it has ended already.
func (c *call) finish(content any, err error) {
	if c.done {
		return
	}
	c.done, c.content, c.err = true, content, err
	c.cond.Broadcast()
}

// call runs serve in the process that runs on the machine named to when the call arrives. The calling
// thread waits at most timeout for the response. A link may deliver the call twice; the second
// delivery gets no response.
func (i *incarnation) call(to string, timeout time.Duration, serve func(process *incarnation) (any, error)) (any, error) {
	world := i.world
	pending := &call{client: i, from: i.name, to: to, cond: &cond{incarnation: i}}
	arrive := func(first bool) {
		process := world.incarnations[to]
		if process == nil || process.ended {
			if !first {
				return
			}
			if world.isPowered(to) {
				pending.fail("connection refused")
				return
			}
			// The machine is off, so the connection attempt times out.
			world.schedule(dialTimeout, i, func() { pending.finish(nil, failure.New(failure.Unreachable, "connection refused")) })
			return
		}
		unregister := func() {}
		if first {
			unregister = process.onEnd(pending.broken)
		}
		// If the process is frozen, the call waits until the process runs again.
		world.schedule(0, process, func() {
			process.Go(func() {
				content, err := serve(process)
				if !first {
					return
				}
				unregister()
				world.carry(to, i.name, i, func() { pending.finish(content, err) })
			})
		})
	}
	world.carry(i.name, to, nil, func() { arrive(true) })
	if l := world.link(i.name, to); l.duplicate > 0 && world.random.Float64() < l.duplicate {
		world.encounter("a call between nodes delivered twice")
		world.schedule(time.Duration(world.random.IntN(2500))*time.Millisecond, nil, func() { arrive(false) })
	}
	if !pending.cond.Wait(timeout, func() bool { return pending.done }) {
		return nil, failure.New(failure.Unreachable, "no response in time")
	}
	return pending.content, pending.err
}

// rpcClient is the RPC client of a simulated process.
type rpcClient struct{ incarnation *incarnation }

// CallRaw sends a message to the process at an address.
func (c rpcClient) CallRaw(address, path string, body []byte, timeout time.Duration) ([]byte, error) {
	world := c.incarnation.world
	world.tapMessage(path, body)
	world.countSnapshot(path, body)
	content, err := c.incarnation.call(world.nameAt(address), timeout, func(process *incarnation) (any, error) {
		if process.handle == nil {
			return nil, failure.New(failure.Unreachable, "no handler is registered yet")
		}
		answer, err := process.handle(path, body)
		world.countTraffic(path, len(body)+len(answer))
		if err != nil {
			// Only an error's code and detail are sent over the network.
			return nil, failure.New(failure.CodeOf(err), failure.DetailOf(err))
		}
		return answer, nil
	})
	if err != nil {
		return nil, err
	}
	return content.([]byte), nil
}
