package simulation

import (
	"time"

	"seamloom.example/seamloom/internal/failure"
)

// link is one direction between two machines.
type link struct {
	// far is the distance between two regions.
	far       time.Duration
	cut       bool
	delay     time.Duration
	loss      float64
	duplicate float64
}

func (w *World) link(from, to string) *link {
	ends := [2]string{from, to}
	found := w.links[ends]
	if found == nil {
		found = &link{far: w.far(from, to)}
		w.links[ends] = found
	}
	return found
}

// heal ends all faults of all links.
func (w *World) heal() {
	w.links = map[[2]string]*link{}
	w.slowDials = 0
}

// latency is how long one message takes.
func (w *World) latency(over *link) time.Duration {
	return time.Duration(150+w.random.IntN(1200))*time.Microsecond + over.delay + over.far
}

// carry brings one message over a link, or loses it.
func (w *World) carry(from, to string, owner *incarnation, act func()) bool {
	over := w.link(from, to)
	if over.cut || (over.loss > 0 && w.random.Float64() < over.loss) {
		return false
	}
	w.after(w.latency(over), owner, act)
	return true
}

// dialPatience is how long one tries to open a connection to a machine that is
// off.
const dialPatience = time.Second

// call is one question under way.
type call struct {
	client   *incarnation
	from, to string
	cond     *cond
	over     bool
	content  any
	err      error
}

// broken tells the client that the connection broke, if that can be heard.
func (c *call) broken() { c.fail("the circuit broke") }

func (c *call) fail(detail string) {
	c.client.world.carry(c.to, c.from, c.client, func() {
		c.finish(nil, failure.New(failure.Unreachable, detail))
	})
}

func (c *call) finish(content any, err error) {
	if c.over {
		return
	}
	c.over, c.content, c.err = true, content, err
	c.cond.Broadcast()
}

// call has serve answered by the process that runs at the machine when the
// question comes there; the client's thread waits until its patience ends. A
// link may bring the question twice.
func (i *incarnation) call(to string, patience time.Duration, serve func(there *incarnation) (any, error)) (any, error) {
	world := i.world
	asked := &call{client: i, from: i.name, to: to, cond: &cond{incarnation: i}}
	arrive := func(first bool) {
		there := world.incarnations[to]
		if there == nil || there.ended {
			if !first {
				return
			}
			if world.powered(to) {
				asked.fail("nobody listens")
				return
			}
			// No connection comes about.
			world.after(dialPatience, i, func() { asked.finish(nil, failure.New(failure.Unreachable, "nobody listens")) })
			return
		}
		forget := func() {}
		if first {
			forget = there.onEnd(asked.broken)
		}
		// The question lies there until the process runs.
		world.after(0, there, func() {
			there.Go(func() {
				content, err := serve(there)
				if !first {
					return
				}
				forget()
				world.carry(to, i.name, i, func() { asked.finish(content, err) })
			})
		})
	}
	world.carry(i.name, to, nil, func() { arrive(true) })
	if over := world.link(i.name, to); over.duplicate > 0 && world.random.Float64() < over.duplicate {
		world.encounter("a question brought twice")
		world.after(time.Duration(world.random.IntN(2500))*time.Millisecond, nil, func() { arrive(false) })
	}
	if !asked.cond.Wait(patience, func() bool { return asked.over }) {
		return nil, failure.New(failure.Unreachable, "no answer in time")
	}
	return asked.content, asked.err
}

// rpcClient is the RPC client of a simulated process.
type rpcClient struct{ incarnation *incarnation }

// CallRaw sends a message to the process at an address.
func (w rpcClient) CallRaw(address, path string, body []byte, patience time.Duration) ([]byte, error) {
	world := w.incarnation.world
	world.tapMessage(path, body)
	world.countSnapshot(path, body)
	content, err := w.incarnation.call(world.nameAt(address), patience, func(there *incarnation) (any, error) {
		if there.handle == nil {
			return nil, failure.New(failure.Unreachable, "nobody listens yet")
		}
		answer, err := there.handle(path, body)
		world.countTraffic(path, len(body)+len(answer))
		if err != nil {
			// An error crosses the wire as its kind and detail.
			return nil, failure.New(failure.CodeOf(err), failure.DetailOf(err))
		}
		return answer, nil
	})
	if err != nil {
		return nil, err
	}
	return content.([]byte), nil
}
