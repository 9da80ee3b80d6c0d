package simulation

import "time"

// pipe is one direction of a connection: what is put in comes out in order, until
// the connection breaks. A message that is lost breaks it for all that follow.
type pipe struct {
	world    *World
	from, to string
	receiver *incarnation
	cond     *cond
	waiting  []any
	lost     bool
	broken   bool
	last     time.Duration
}

func newPipe(world *World, from, to string, reader *incarnation) *pipe {
	return &pipe{world: world, from: from, to: to, receiver: reader, cond: &cond{incarnation: reader}}
}

// put sends one message; false means that the connection is broken.
func (p *pipe) put(message any) bool {
	if p.broken || p.receiver.ended {
		return false
	}
	over := p.world.link(p.from, p.to)
	if over.cut || (over.loss > 0 && p.world.random.Float64() < over.loss/4) {
		p.lost = true
		return true
	}
	if p.lost {
		p.disconnect()
		return false
	}
	p.last = max(p.last, p.world.now+p.world.latency(over))
	p.world.after(p.last-p.world.now, p.receiver, func() {
		if !p.broken {
			p.waiting = append(p.waiting, message)
			p.cond.Broadcast()
		}
	})
	return true
}

// disconnect breaks the connection; the reader hears of it unless its link is cut.
func (p *pipe) disconnect() {
	if p.world.link(p.from, p.to).cut {
		return
	}
	p.last = max(p.last, p.world.now)
	p.world.after(p.last-p.world.now, p.receiver, func() {
		p.broken = true
		p.cond.Broadcast()
	})
}

// take waits for the next message; false means that none comes any more, or
// that quit said to stop.
func (p *pipe) take(patience time.Duration, quit func() bool) (any, bool) {
	p.cond.Wait(patience, func() bool { return len(p.waiting) > 0 || p.broken || quit() })
	if len(p.waiting) == 0 || quit() {
		return nil, false
	}
	message := p.waiting[0]
	p.waiting = p.waiting[1:]
	return message, true
}
