package replay

import (
	"slices"
	"sort"
	"time"
)

// Shape is how an engine is built.
type Shape struct {
	Slots, Queue, Connections int
	Step, StepPerSlot         time.Duration
	TokensPerMillisecond      float64
	Chunk, Block, Capacity    int
	TokenBytes, LinkMegabits  float64
	Setup                     time.Duration
	HandleLifetime, Switch    time.Duration
	ReportLag                 time.Duration
	Cold                      time.Duration
	ColdPerSecond             float64
	Idle                      time.Duration
	// Plain: the server has no engine of a model; it works on a request for so many steps
	// and answers it whole.
	Plain int
}

// engine works in batches: each step makes one token of every request that is being
// answered, and reads a chunk of the prompts that are not read yet. Time is an input.
type engine struct {
	shape   Shape
	memory  *prefixCache
	running []*work
	waiting []*work
	// readsOwn: prompts are read between the tokens of others, at half the pace and in
	// chunks a quarter as large.
	readsOwn    bool
	preemptions int
}

func newEngine(shape Shape) *engine {
	return &engine{shape: shape, memory: newPrefixCache(shape.Capacity, shape.Block)}
}

// enter lets a request in; false means that the server is full, or too small. A more
// urgent request takes the place of one that waits.
func (e *engine) enter(one *work) bool {
	needs := e.memory.rounded(one.most)
	for _, each := range one.chain {
		needs += e.memory.rounded(each.tokens)
	}
	if needs > e.shape.Capacity {
		return false
	}
	if len(e.waiting) >= e.shape.Queue {
		last := e.waiting[len(e.waiting)-1]
		if last.urgency <= one.urgency || last.begun {
			return false
		}
		e.waiting = e.waiting[:len(e.waiting)-1]
		e.end(last, "pushed out")
	}
	e.wait(one)
	return true
}

// wait puts a request in its place in the queue: the most urgent first, then the oldest.
func (e *engine) wait(one *work) {
	one.stage = waiting
	position := sort.Search(len(e.waiting), func(position int) bool {
		other := e.waiting[position]
		if other.urgency != one.urgency {
			return other.urgency > one.urgency
		}
		return other.arrived.After(one.arrived)
	})
	e.waiting = slices.Insert(e.waiting, position, one)
}

// end gives a request up, wherever it stands.
func (e *engine) end(one *work, ending string) {
	if one.stage == over {
		return
	}
	e.waiting = slices.DeleteFunc(e.waiting, func(other *work) bool { return other == one })
	e.running = slices.DeleteFunc(e.running, func(other *work) bool { return other == one })
	e.release(one)
	one.stage, one.ending = over, ending
}

// release gives a request's memory back. Parts that it had not read to their end are
// not kept.
func (e *engine) release(one *work) {
	e.memory.unpin(one.held)
	if one.stage == reading {
		e.memory.forget(one.held)
	}
	e.memory.fixed -= one.own
	one.held, one.own = nil, 0
}

// busy tells whether there is anything to do.
func (e *engine) busy() bool { return len(e.running)+len(e.waiting) > 0 }

// admit lets waiting requests begin as far as there are slots and memory.
func (e *engine) admit(now time.Time) {
	for position := 0; position < len(e.waiting) && len(e.running) < e.shape.Slots; {
		one := e.waiting[position]
		if one.notBefore.After(now) {
			position++
			continue
		}
		missing := e.memory.missing(one.model, one.chain)
		held, fits := e.memory.pin(one.model, one.chain)
		if !fits {
			return
		}
		own := e.memory.rounded(one.made)
		if !e.memory.grow(own) {
			e.memory.unpin(held)
			return
		}
		e.waiting = slices.Delete(e.waiting, position, position+1)
		one.held, one.own, one.left = held, own, missing+one.made
		if one.fetched {
			one.left, one.fetched = 0, false
		}
		one.stage = reading
		e.running = append(e.running, one)
	}
}

// pace is how long reading so many tokens takes.
func (e *engine) pace(tokens int) time.Duration {
	length := time.Duration(float64(tokens) / e.shape.TokensPerMillisecond * float64(time.Millisecond))
	if e.readsOwn {
		length *= 2
	}
	return length
}

// plan begins a step: how long it takes, and the chunks that are read in it.
func (e *engine) plan(now time.Time) (time.Duration, map[*work]int) {
	e.admit(now)
	length, chunk, chunks, others := e.shape.Step, e.shape.Chunk, map[*work]int{}, 0
	if e.readsOwn {
		chunk /= 4
	}
	for _, one := range e.running {
		if one.stage == making {
			others++
			continue
		}
		piece := min(one.left, chunk)
		chunk -= piece
		chunks[one] = piece
		length += e.pace(piece)
	}
	return length + time.Duration(others)*e.shape.StepPerSlot, chunks
}

// apply ends a step: tokens are made, and prompts read to their end begin to be
// answered. It gives the requests that came further.
func (e *engine) apply(now time.Time, chunks map[*work]int) []*work {
	var further []*work
	for _, one := range slices.Clone(e.running) {
		if !one.ends.IsZero() && now.After(one.ends) {
			e.end(one, "deadline")
			further = append(further, one)
			continue
		}
		if one.stage == over || !slices.Contains(e.running, one) {
			continue
		}
		if one.stage == reading {
			chunk, planned := chunks[one]
			one.left -= chunk
			if !planned || one.left > 0 {
				continue
			}
			one.stage = making
			if one.onlyRead {
				e.running = slices.DeleteFunc(e.running, func(other *work) bool { return other == one })
				one.stage = over
				further = append(further, one)
				continue
			}
		}
		if !e.makeToken(one) {
			continue
		}
		further = append(further, one)
		if one.made >= one.most {
			e.end(one, "")
		}
	}
	for _, one := range slices.Clone(e.waiting) {
		if !one.ends.IsZero() && now.After(one.ends) {
			e.end(one, "deadline")
			further = append(further, one)
		}
	}
	return further
}

// makeToken makes one token; when memory runs out, the newest of the least urgent
// requests is put back and read again later.
func (e *engine) makeToken(one *work) bool {
	for e.memory.rounded(one.made+1) > one.own {
		if e.memory.grow(e.shape.Block) {
			one.own += e.shape.Block
			continue
		}
		victim := one
		for _, other := range e.running {
			if other.urgency > victim.urgency || other.urgency == victim.urgency && other.arrived.After(victim.arrived) {
				victim = other
			}
		}
		e.running = slices.DeleteFunc(e.running, func(other *work) bool { return other == victim })
		e.release(victim)
		e.wait(victim)
		e.preemptions++
		if victim == one {
			return false
		}
	}
	one.made++
	one.begun = true
	return true
}
