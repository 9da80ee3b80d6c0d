package replay

import (
	"testing"
	"time"
)

func smallShape() Shape {
	return Shape{Slots: 2, Queue: 2, Step: time.Millisecond, TokensPerMillisecond: 10, Chunk: 100, Block: 10, Capacity: 400}
}

// drive steps an engine until a request is over, and gives the time that took.
func drive(t *testing.T, e *engine, now time.Time, one *work) time.Duration {
	t.Helper()
	began := now
	for range 10_000 {
		if one.stage == over {
			return now.Sub(began)
		}
		length, chunks := e.plan(now)
		now = now.Add(length)
		e.apply(now, chunks)
	}
	t.Fatal("the request is never over")
	return 0
}

// TestKeptPartsAreNotReadAgain reads a chain twice, and once more after others took
// its room.
func TestKeptPartsAreNotReadAgain(t *testing.T) {
	e, now := newEngine(smallShape()), time.Unix(1000, 0)
	chain := []part{{"shared", 100}, {"own", 50}}
	first := &work{model: "m", chain: chain, most: 2, arrived: now}
	e.enter(first)
	cold := drive(t, e, now, first)
	second := &work{model: "m", chain: chain, most: 2, arrived: now}
	e.enter(second)
	if warm := drive(t, e, now, second); cold < 15*time.Millisecond || warm > 3*time.Millisecond {
		t.Errorf("cold %s, warm %s", cold, warm)
	}
	if tokens := e.memory.missing("m", []part{{"shared", 100}, {"other", 50}}); tokens != 50 {
		t.Errorf("%d tokens are missing of a chain with another end", tokens)
	}
	if tokens := e.memory.missing("m2", chain); tokens != 150 {
		t.Errorf("%d tokens are missing for another model", tokens)
	}
	for _, id := range []string{"a", "b", "c"} {
		filler := &work{model: "m", chain: []part{{id, 120}}, most: 1, arrived: now}
		e.enter(filler)
		drive(t, e, now, filler)
	}
	if tokens := e.memory.missing("m", chain); tokens != 150 {
		t.Errorf("%d tokens are missing after others took the room", tokens)
	}
	if e.memory.cached > 400 || e.memory.fixed != 0 || e.memory.pinnedTokens() != 0 {
		t.Errorf("kept %d, fixed %d, pinned %d", e.memory.cached, e.memory.fixed, e.memory.pinnedTokens())
	}
}

// TestMemoryPressurePutsTheNewestBack runs two requests whose tokens don't both fit.
func TestMemoryPressurePutsTheNewestBack(t *testing.T) {
	e, now := newEngine(smallShape()), time.Unix(1000, 0)
	older := &work{model: "m", chain: []part{{"a", 150}}, most: 80, arrived: now}
	newer := &work{model: "m", chain: []part{{"b", 150}}, most: 80, arrived: now.Add(time.Second)}
	if !e.enter(older) || !e.enter(newer) {
		t.Fatal("not let in")
	}
	drive(t, e, now, newer)
	if e.preemptions == 0 || older.stage != over || older.ending != "" || newer.made != 80 {
		t.Errorf("put back %d times; older %+v newer %+v", e.preemptions, older, newer)
	}
}

// TestUrgentRequestsTakeThePlaceOfOthers fills the queue.
func TestUrgentRequestsTakeThePlaceOfOthers(t *testing.T) {
	e, now := newEngine(smallShape()), time.Unix(1000, 0)
	var usual []*work
	for number := range 2 {
		one := &work{model: "m", most: 1, urgency: 5, arrived: now.Add(time.Duration(number))}
		usual = append(usual, one)
		e.enter(one)
	}
	if e.enter(&work{model: "m", most: 1, urgency: 5, arrived: now.Add(time.Second)}) {
		t.Error("a full server let another in")
	}
	urgent := &work{model: "m", most: 1, urgency: 0, arrived: now.Add(time.Second)}
	if !e.enter(urgent) || usual[1].stage != over || usual[1].ending == "" || e.waiting[0] != urgent {
		t.Errorf("the urgent request did not take a place: %+v", usual[1])
	}
	if e.enter(&work{model: "m", most: 500, arrived: now}) {
		t.Error("a request larger than the memory was let in")
	}
	late := &work{model: "m", most: 1, arrived: now, ends: now.Add(-time.Second)}
	e.waiting = nil
	e.enter(late)
	e.apply(now, nil)
	if late.stage != over || late.ending != "deadline" || late.begun {
		t.Errorf("a request past its deadline: %+v", late)
	}
}
