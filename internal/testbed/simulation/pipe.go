package simulation

import "time"

// pipe is one direction of a connection: it delivers messages in order until the connection
// breaks. A lost message breaks the connection for all later messages.
type pipe struct {
	world    *World
	from, to string
	receiver *incarnation
	cond     *cond
	waiting  []any
	// lost means that a message was lost, so that the next message breaks the connection.
	lost   bool
	broken bool
	// last is when the latest message arrives; later messages arrive no earlier.
	last time.Duration
}

func newPipe(world *World, from, to string, receiver *incarnation) *pipe {
	return &pipe{world: world, from: from, to: to, receiver: receiver, cond: &cond{incarnation: receiver}}
}

// put sends one message. It returns false if the connection is broken, but true if the link loses the
// message, because the sender can't notice a loss.
func (p *pipe) put(message any) bool {
	if p.broken || p.receiver.ended {
		return false
	}
	l := p.world.link(p.from, p.to)
	if l.cut || (l.loss > 0 && p.world.random.Float64() < l.loss/4) {
		p.lost = true
		return true
	}
	if p.lost {
		p.disconnect()
		return false
	}
	p.last = max(p.last, p.world.now+p.world.latency(l))
	p.world.schedule(p.last-p.world.now, p.receiver, func() {
		if !p.broken {
			p.waiting = append(p.waiting, message)
			p.cond.Broadcast()
		}
	})
	return true
}

// disconnect breaks the connection after the messages in transit have arrived, and wakes the receiver. It
// does nothing while the link is cut, because the receiver can't learn of the disconnect.
func (p *pipe) disconnect() {
	if p.world.link(p.from, p.to).cut {
		return
	}
	p.last = max(p.last, p.world.now)
	p.world.schedule(p.last-p.world.now, p.receiver, func() {
		p.broken = true
		p.cond.Broadcast()
	})
}

// receive waits at most timeout for the next message. It returns false if no message arrives in that
// time, if the connection is broken and all arrived messages have been received, or if quit returns true.
func (p *pipe) receive(timeout time.Duration, quit func() bool) (any, bool) {
	p.cond.Wait(timeout, func() bool { return len(p.waiting) > 0 || p.broken || quit() })
	if len(p.waiting) == 0 || quit() {
		return nil, false
	}
	message := p.waiting[0]
	p.waiting = p.waiting[1:]
	return message, true
}
