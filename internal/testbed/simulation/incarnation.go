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

// incarnation is one process from its start to its end. It is the runtime that gives threads, locks
// and clocks to the product's code.
type incarnation struct {
	world   *World
	name    string
	address string
	// startedAt is the world's time at the start, wall the process's clock at the start, and
	// drift the fraction by which that clock runs faster than the world's time.
	startedAt time.Duration
	wall      time.Time
	// jump is how far a fault has moved the wall clock; it is negative if the clock was set back.
	jump   time.Duration
	drift  float64
	ended  bool
	frozen bool
	// backlog holds the events that came due while the incarnation was frozen.
	backlog        []*scheduledEvent
	threads        map[*thread]bool
	onEndCallbacks map[uint64]func()
	// handle handles messages from other nodes; nil means that the process is not ready for them.
	handle func(path string, body []byte) ([]byte, error)
}

// thread is one of an incarnation's threads, implemented as a coroutine that runs until it
// waits.
type thread struct {
	incarnation *incarnation
	next        func() (struct{}, bool)
	stop        func()
	yield       func(struct{}) bool
	number      uint64
	ended       bool
}

// killed is the value of the panic that unwinds the threads of an ended incarnation.
type killed struct{}

// Now returns the time on the incarnation's monotonic clock.
func (i *incarnation) Now() time.Time { return i.wall.Add(i.elapsed()) }

func (i *incarnation) elapsed() time.Duration {
	return time.Duration(float64(i.world.now-i.startedAt) * (1 + i.drift))
}

// Wall returns the time on the incarnation's wall clock, which faults can set.
func (i *incarnation) Wall() time.Time { return i.wall.Add(i.elapsed() + i.jump) }

// Alive reports whether the incarnation has not ended.
func (i *incarnation) Alive() bool { return !i.ended }

// Go starts a thread that calls f, unless the incarnation has ended.
func (i *incarnation) Go(f func()) {
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
		f()
	})
	i.threads[started] = true
	i.world.schedule(0, i, func() { started.resume() })
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

// suspend returns control to the world until the thread is resumed.
func (t *thread) suspend() {
	if !t.yield(struct{}{}) {
		panic(killed{})
	}
}

// end ends the incarnation immediately. The incarnation's threads never run again, and its peers see
// their connections break, unless the links to them are cut.
func (i *incarnation) end() {
	if i.ended {
		return
	}
	i.ended = true
	i.world.dead = append(i.world.dead, i)
	for _, number := range slices.Sorted(maps.Keys(i.onEndCallbacks)) {
		i.onEndCallbacks[number]()
	}
	i.onEndCallbacks = nil
	if i.world.running == nil {
		i.world.unwindDead()
	}
}

// onEnd registers a callback that is called when the incarnation ends, or calls it at once if the
// incarnation has ended. The function that onEnd returns removes the registration.
func (i *incarnation) onEnd(callback func()) (forget func()) {
	if i.ended {
		callback()
		return func() {}
	}
	i.world.sequence++
	number := i.world.sequence
	i.onEndCallbacks[number] = callback
	return func() { delete(i.onEndCallbacks, number) }
}

// unwindDead unwinds the threads of incarnations that have ended. It does nothing while a thread
// is running; resume calls it again once that thread waits.
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

// freeze pauses the incarnation; its events wait in the backlog.
func (i *incarnation) freeze() { i.frozen = true }

// wake resumes a frozen incarnation and makes the events of its backlog due at once.
func (i *incarnation) wake() {
	i.frozen = false
	for _, late := range i.backlog {
		late.at = i.world.now
		heap.Push(&i.world.queue, late)
	}
	i.backlog = nil
}

// lock is a mutual exclusion lock between an incarnation's threads. A thread may wait while it
// holds the lock, for example for the disk. The world's own code and the threads of other
// incarnations bypass the lock, because only one thread runs at a time. So does every thread once the
// incarnation has ended.
type lock struct {
	cond     *cond
	locked   bool
	bypassed bool
}

// NewLock returns an unlocked lock.
func (i *incarnation) NewLock() sync.Locker { return &lock{cond: &cond{incarnation: i}} }

// Lock waits until the lock is free and takes it.
func (l *lock) Lock() {
	if t := l.cond.incarnation.world.running; t == nil || t.incarnation != l.cond.incarnation ||
		l.cond.incarnation.ended {
		l.bypassed = true
		return
	}
	for !l.cond.Wait(time.Hour, func() bool { return !l.locked }) {
	}
	l.locked = true
}

// Unlock releases the lock.
func (l *lock) Unlock() {
	if l.bypassed {
		l.bypassed = false
		return
	}
	l.locked = false
	l.cond.Broadcast()
}

// NewCond returns a condition variable.
func (i *incarnation) NewCond() runtime.Cond { return &cond{incarnation: i} }

// cond is a runtime.Cond under the simulated clock.
type cond struct {
	incarnation *incarnation
	waiters     []*waiter
}

// waiter is a thread that waits on a cond.
type waiter struct {
	thread   *thread
	notified bool
	timedOut bool
}

// Broadcast makes all waiters check their condition again.
func (c *cond) Broadcast() {
	for _, w := range c.waiters {
		if !w.notified {
			w.notified = true
			c.incarnation.world.schedule(0, c.incarnation, w.thread.resume)
		}
	}
}

// Wait waits until done returns true or the timeout has passed, and reports whether done returned
// true.
func (c *cond) Wait(timeout time.Duration, done func() bool) bool {
	if c.incarnation.ended {
		panic(killed{})
	}
	if done() {
		return true
	}
	t := c.incarnation.world.running
	if t == nil || t.incarnation != c.incarnation {
		panic("simulation: wait on a condition variable outside of its incarnation's threads")
	}
	waiting := &waiter{thread: t}
	c.waiters = append(c.waiters, waiting)
	length := time.Duration(float64(timeout) / (1 + c.incarnation.drift))
	timer := c.incarnation.world.schedule(length, c.incarnation, func() {
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
		if done() {
			return true
		}
		if waiting.timedOut {
			return false
		}
	}
}
