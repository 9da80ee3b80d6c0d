package simulation

import (
	"cmp"
	"container/heap"
	"iter"
	"maps"
	"slices"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/runtime"
)

// incarnation is one process from its start to its end. It is the process's threads
// and clock, as the core packages see them.
type incarnation struct {
	world   *World
	name    string
	address string
	// startedAt is when it started, wall what its clock said then, and drift how
	// much faster than the world its clock runs.
	startedAt time.Duration
	wall      time.Time
	jump      time.Duration
	drift     float64
	ended     bool
	frozen    bool
	backlog   []*alarm
	threads   map[*thread]bool
	onEndActs map[uint64]func()
	handle    func(path string, body []byte) ([]byte, error)
}

// thread is one of an incarnation's threads, as a coroutine: it runs until it waits.
type thread struct {
	incarnation *incarnation
	next        func() (struct{}, bool)
	stop        func()
	yield       func(struct{}) bool
	number      uint64
	ended       bool
}

// killed unwinds the threads of an incarnation that has ended.
type killed struct{}

// Now is the incarnation's own steady clock.
func (i *incarnation) Now() time.Time { return i.wall.Add(i.elapsed()) }

func (i *incarnation) elapsed() time.Duration {
	return time.Duration(float64(i.world.now-i.startedAt) * (1 + i.drift))
}

// Wall is the incarnation's wall clock, which faults set.
func (i *incarnation) Wall() time.Time { return i.wall.Add(i.elapsed() + i.jump) }

// Alive tells whether the incarnation goes on.
func (i *incarnation) Alive() bool { return !i.ended }

// Go starts a thread.
func (i *incarnation) Go(act func()) {
	if i.ended {
		return
	}
	started := &thread{incarnation: i, number: i.world.sequence}
	started.next, started.stop = iter.Pull(func(yield func(struct{}) bool) {
		defer func() {
			started.ended = true
			if cause := recover(); cause != nil {
				if _, expected := cause.(killed); !expected {
					panic(cause)
				}
			}
		}()
		started.yield = yield
		act()
	})
	i.threads[started] = true
	i.world.after(0, i, func() { started.resume() })
}

// resume runs the thread until it waits or ends.
func (t *thread) resume() {
	if t.ended || t.incarnation.ended {
		return
	}
	before := t.incarnation.world.running
	t.incarnation.world.running = t
	_, waits := t.next()
	t.incarnation.world.running = before
	if !waits {
		delete(t.incarnation.threads, t)
	}
	t.incarnation.world.unwindDead()
}

// suspend gives the turn back to the world until the thread is resumed.
func (t *thread) suspend() {
	if !t.yield(struct{}{}) {
		panic(killed{})
	}
}

// end ends the incarnation at once: its threads never run again, and whoever waits for
// an answer from it hears that the connection broke, if it can be heard.
func (i *incarnation) end() {
	if i.ended {
		return
	}
	i.ended = true
	i.world.dead = append(i.world.dead, i)
	for _, number := range slices.Sorted(maps.Keys(i.onEndActs)) {
		i.onEndActs[number]()
	}
	i.onEndActs = nil
	if i.world.running == nil {
		i.world.unwindDead()
	}
}

// onEnd has something done when the incarnation ends; forget takes that back.
func (i *incarnation) onEnd(act func()) (forget func()) {
	if i.ended {
		act()
		return func() {}
	}
	i.world.sequence++
	number := i.world.sequence
	i.onEndActs[number] = act
	return func() { delete(i.onEndActs, number) }
}

// unwindDead unwinds the threads of incarnations that have ended, once none of them runs.
func (w *World) unwindDead() {
	if w.running != nil {
		return
	}
	dead := w.dead
	w.dead = nil
	for _, i := range dead {
		threads := slices.Collect(maps.Keys(i.threads))
		slices.SortFunc(threads, func(left, right *thread) int { return cmp.Compare(left.number, right.number) })
		for _, t := range threads {
			t.stop()
		}
		i.threads = map[*thread]bool{}
		i.backlog = nil
	}
}

// freeze stops the incarnation without ending it; everything that comes waits.
func (i *incarnation) freeze() { i.frozen = true }

// wake lets a frozen incarnation go on, with all that came meanwhile.
func (i *incarnation) wake() {
	i.frozen = false
	for _, late := range i.backlog {
		late.at = i.world.now
		heap.Push(&i.world.due, late)
	}
	i.backlog = nil
}

// lock is held by one of an incarnation's threads while it waits for the disk. The world
// looks past it: nothing runs while it looks.
type lock struct {
	cond    *cond
	locked  bool
	visited bool
}

// NewLock makes a lock.
func (i *incarnation) NewLock() sync.Locker { return &lock{cond: &cond{incarnation: i}} }

// Lock waits until nobody holds the lock.
func (l *lock) Lock() {
	if t := l.cond.incarnation.world.running; t == nil || t.incarnation != l.cond.incarnation || l.cond.incarnation.ended {
		l.visited = true
		return
	}
	for !l.cond.Wait(time.Hour, func() bool { return !l.locked }) {
	}
	l.locked = true
}

// Unlock lets the next have it.
func (l *lock) Unlock() {
	if l.visited {
		l.visited = false
		return
	}
	l.locked = false
	l.cond.Broadcast()
}

// NewCond makes a condition variable.
func (i *incarnation) NewCond() runtime.Cond { return &cond{incarnation: i} }

// cond is a runtime.Cond under the simulated clock.
type cond struct {
	incarnation *incarnation
	waiters     []*waiter
}

type waiter struct {
	thread   *thread
	notified bool
	timedOut bool
}

// Broadcast has all who wait ask again.
func (c *cond) Broadcast() {
	for _, waiting := range c.waiters {
		if !waiting.notified {
			waiting.notified = true
			c.incarnation.world.after(0, c.incarnation, waiting.thread.resume)
		}
	}
}

// Wait waits until over is true or the patience ends.
func (c *cond) Wait(patience time.Duration, over func() bool) bool {
	if c.incarnation.ended {
		panic(killed{})
	}
	if over() {
		return true
	}
	t := c.incarnation.world.running
	if t == nil || t.incarnation != c.incarnation {
		panic("world: a wait outside of the life's own threads")
	}
	waiting := &waiter{thread: t}
	c.waiters = append(c.waiters, waiting)
	length := time.Duration(float64(patience) / (1 + c.incarnation.drift))
	timer := c.incarnation.world.after(length, c.incarnation, func() {
		waiting.timedOut = true
		t.resume()
	})
	defer func() {
		timer.canceled = true
		for position, other := range c.waiters {
			if other == waiting {
				c.waiters = append(c.waiters[:position:position], c.waiters[position+1:]...)
				break
			}
		}
	}()
	for {
		t.suspend()
		waiting.notified = false
		if over() {
			return true
		}
		if waiting.timedOut {
			return false
		}
	}
}
