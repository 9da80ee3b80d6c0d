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

// life is one process from its start to its end. It is the process's threads
// and clock, as the core packages see them.
type incarnation struct {
	world   *World
	name    string
	address string
	// bornAt is when it started, wall what its clock said then, and drift how
	// much faster than the world its clock runs.
	bornAt  time.Duration
	wall    time.Time
	jump    time.Duration
	drift   float64
	ended   bool
	frozen  bool
	backlog []*alarm
	threads map[*thread]bool
	endings map[uint64]func()
	answer  func(path string, body []byte) ([]byte, error)
}

// thread is one of a life's threads, as a coroutine: it runs until it waits.
type thread struct {
	incarnation *incarnation
	next        func() (struct{}, bool)
	stop        func()
	yield       func(struct{}) bool
	number      uint64
	ended       bool
}

// killed unwinds the threads of a life that has ended.
type killed struct{}

// Now is the life's own steady clock.
func (life *incarnation) Now() time.Time { return life.wall.Add(life.lived()) }

func (life *incarnation) lived() time.Duration {
	return time.Duration(float64(life.world.now-life.bornAt) * (1 + life.drift))
}

// Wall is the life's wall clock, which faults set.
func (life *incarnation) Wall() time.Time { return life.wall.Add(life.lived() + life.jump) }

// Alive tells whether the life goes on.
func (life *incarnation) Alive() bool { return !life.ended }

// Go starts a thread.
func (life *incarnation) Go(act func()) {
	if life.ended {
		return
	}
	started := &thread{incarnation: life, number: life.world.sequence}
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
	life.threads[started] = true
	life.world.after(0, life, func() { started.resume() })
}

// resume runs the thread until it waits or ends.
func (thread *thread) resume() {
	if thread.ended || thread.incarnation.ended {
		return
	}
	before := thread.incarnation.world.running
	thread.incarnation.world.running = thread
	_, waits := thread.next()
	thread.incarnation.world.running = before
	if !waits {
		delete(thread.incarnation.threads, thread)
	}
	thread.incarnation.world.bury()
}

// suspend gives the turn back to the world until the thread is resumed.
func (thread *thread) suspend() {
	if !thread.yield(struct{}{}) {
		panic(killed{})
	}
}

// end ends the life at once: its threads never run again, and whoever waits for
// an answer from it hears that the circuit broke, if it can be heard.
func (life *incarnation) end() {
	if life.ended {
		return
	}
	life.ended = true
	life.world.dead = append(life.world.dead, life)
	for _, number := range slices.Sorted(maps.Keys(life.endings)) {
		life.endings[number]()
	}
	life.endings = nil
	if life.world.running == nil {
		life.world.bury()
	}
}

// atEnd has something done when the life ends; forget takes that back.
func (life *incarnation) atEnd(act func()) (forget func()) {
	if life.ended {
		act()
		return func() {}
	}
	life.world.sequence++
	number := life.world.sequence
	life.endings[number] = act
	return func() { delete(life.endings, number) }
}

// bury unwinds the threads of lives that have ended, once none of them runs.
func (world *World) bury() {
	if world.running != nil {
		return
	}
	dead := world.dead
	world.dead = nil
	for _, incarnation := range dead {
		threads := slices.Collect(maps.Keys(incarnation.threads))
		slices.SortFunc(threads, func(left, right *thread) int { return cmp.Compare(left.number, right.number) })
		for _, thread := range threads {
			thread.stop()
		}
		incarnation.threads = map[*thread]bool{}
		incarnation.backlog = nil
	}
}

// freeze stops the life without ending it; everything that comes waits.
func (life *incarnation) freeze() { life.frozen = true }

// wake lets a frozen life go on, with all that came meanwhile.
func (life *incarnation) wake() {
	life.frozen = false
	for _, late := range life.backlog {
		late.at = life.world.now
		heap.Push(&life.world.due, late)
	}
	life.backlog = nil
}

// lock is held by one of a life's threads while it waits for the disk. The world
// looks past it: nothing runs while it looks.
type lock struct {
	cond    *cond
	held    bool
	visited bool
}

// NewLock makes a lock.
func (life *incarnation) NewLock() sync.Locker { return &lock{cond: &cond{incarnation: life}} }

// Lock waits until nobody holds the lock.
func (lock *lock) Lock() {
	if thread := lock.cond.incarnation.world.running; thread == nil || thread.incarnation != lock.cond.incarnation || lock.cond.incarnation.ended {
		lock.visited = true
		return
	}
	for !lock.cond.Wait(time.Hour, func() bool { return !lock.held }) {
	}
	lock.held = true
}

// Unlock lets the next have it.
func (lock *lock) Unlock() {
	if lock.visited {
		lock.visited = false
		return
	}
	lock.held = false
	lock.cond.Broadcast()
}

// NewCond makes a bell.
func (life *incarnation) NewCond() runtime.Cond { return &cond{incarnation: life} }

// bell is a bell under the world's clock.
type cond struct {
	incarnation *incarnation
	waiters     []*waiter
}

type waiter struct {
	thread *thread
	rung   bool
	late   bool
}

// Broadcast has all who wait ask again.
func (bell *cond) Broadcast() {
	for _, waiting := range bell.waiters {
		if !waiting.rung {
			waiting.rung = true
			bell.incarnation.world.after(0, bell.incarnation, waiting.thread.resume)
		}
	}
}

// Wait waits until over is true or the patience ends.
func (bell *cond) Wait(patience time.Duration, over func() bool) bool {
	if bell.incarnation.ended {
		panic(killed{})
	}
	if over() {
		return true
	}
	thread := bell.incarnation.world.running
	if thread == nil || thread.incarnation != bell.incarnation {
		panic("world: a wait outside of the life's own threads")
	}
	waiting := &waiter{thread: thread}
	bell.waiters = append(bell.waiters, waiting)
	length := time.Duration(float64(patience) / (1 + bell.incarnation.drift))
	timer := bell.incarnation.world.after(length, bell.incarnation, func() {
		waiting.late = true
		thread.resume()
	})
	defer func() {
		timer.canceled = true
		for position, other := range bell.waiters {
			if other == waiting {
				bell.waiters = append(bell.waiters[:position:position], bell.waiters[position+1:]...)
				break
			}
		}
	}()
	for {
		thread.suspend()
		waiting.rung = false
		if over() {
			return true
		}
		if waiting.late {
			return false
		}
	}
}
