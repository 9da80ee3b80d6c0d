package simulation

import "time"

// pipe is one direction of a circuit: what is put in comes out in order, until
// the circuit breaks. A message that is lost breaks it for all that follow.
type pipe struct {
	world    *World
	from, to string
	reader   *incarnation
	cond     *cond
	waiting  []any
	lost     bool
	broken   bool
	last     time.Duration
}

func newPipe(world *World, from, to string, reader *incarnation) *pipe {
	return &pipe{world: world, from: from, to: to, reader: reader, cond: &cond{incarnation: reader}}
}

// put sends one message; false means that the circuit is broken.
func (pipe *pipe) put(message any) bool {
	if pipe.broken || pipe.reader.ended {
		return false
	}
	over := pipe.world.link(pipe.from, pipe.to)
	if over.cut || (over.loss > 0 && pipe.world.random.Float64() < over.loss/4) {
		pipe.lost = true
		return true
	}
	if pipe.lost {
		pipe.snap()
		return false
	}
	pipe.last = max(pipe.last, pipe.world.now+pipe.world.latency(over))
	pipe.world.after(pipe.last-pipe.world.now, pipe.reader, func() {
		if !pipe.broken {
			pipe.waiting = append(pipe.waiting, message)
			pipe.cond.Broadcast()
		}
	})
	return true
}

// snap breaks the circuit; the reader hears of it unless its link is cut.
func (pipe *pipe) snap() {
	if pipe.world.link(pipe.from, pipe.to).cut {
		return
	}
	pipe.last = max(pipe.last, pipe.world.now)
	pipe.world.after(pipe.last-pipe.world.now, pipe.reader, func() {
		pipe.broken = true
		pipe.cond.Broadcast()
	})
}

// take waits for the next message; false means that none comes any more, or
// that quit said to stop.
func (pipe *pipe) take(patience time.Duration, quit func() bool) (any, bool) {
	pipe.cond.Wait(patience, func() bool { return len(pipe.waiting) > 0 || pipe.broken || quit() })
	if len(pipe.waiting) == 0 || quit() {
		return nil, false
	}
	message := pipe.waiting[0]
	pipe.waiting = pipe.waiting[1:]
	return message, true
}
