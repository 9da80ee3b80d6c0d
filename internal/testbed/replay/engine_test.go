package replay

import (
	"testing"
	"time"
)

func smallEngine() EngineConfig {
	return EngineConfig{Slots: 2, Queue: 2, Step: time.Millisecond, TokensPerMillisecond: 10, Chunk: 100, Block: 10, Capacity: 400}
}

// drive runs the steps of an engine until a request is finished, and returns the simulated time that
// this took.
func drive(t *testing.T, e *engine, now time.Time, req *engineRequest) time.Duration {
	t.Helper()
	began := now
	for range 10_000 {
		if req.state == workFinished {
			return now.Sub(began)
		}
		length, chunks := e.planStep(now)
		now = now.Add(length)
		e.finishStep(now, chunks)
	}
	t.Fatal("the request was not finished after 10000 steps")
	return 0
}

// TestCachedPrefixIsNotPrefilledAgain runs the same prompt twice, then fills the memory with other
// prompts and checks that the first one was evicted.
func TestCachedPrefixIsNotPrefilledAgain(t *testing.T) {
	e, now := newEngine(smallEngine()), time.Unix(1000, 0)
	chain := []promptPart{{"shared", 100}, {"own", 50}}
	first := &engineRequest{model: "m", chain: chain, maxTokens: 2, arrived: now}
	e.submit(first)
	firstTime := drive(t, e, now, first)
	second := &engineRequest{model: "m", chain: chain, maxTokens: 2, arrived: now}
	e.submit(second)
	if secondTime := drive(t, e, now, second); firstTime < 15*time.Millisecond || secondTime > 3*time.Millisecond {
		t.Errorf("the first run took %s and the second %s, want at least 15ms and at most 3ms", firstTime, secondTime)
	}
	if tokens := e.cache.missingTokens("m", []promptPart{{"shared", 100}, {"other", 50}}); tokens != 50 {
		t.Errorf("%d tokens are missing from a chain with another last part, want 50", tokens)
	}
	if tokens := e.cache.missingTokens("m2", chain); tokens != 150 {
		t.Errorf("%d tokens are missing for another model, want 150", tokens)
	}
	for _, id := range []string{"a", "b", "c"} {
		filler := &engineRequest{model: "m", chain: []promptPart{{id, 120}}, maxTokens: 1, arrived: now}
		e.submit(filler)
		drive(t, e, now, filler)
	}
	if tokens := e.cache.missingTokens("m", chain); tokens != 150 {
		t.Errorf("%d tokens are missing after other prompts filled the memory, want 150", tokens)
	}
	if e.cache.cached > 400 || e.cache.reservedTokens != 0 || e.cache.pinnedTokens() != 0 {
		t.Errorf("cached %d, reserved %d, pinned %d tokens, want at most 400, 0 and 0",
			e.cache.cached, e.cache.reservedTokens, e.cache.pinnedTokens())
	}
}

// TestMemoryPressurePreemptsTheNewestRequest runs two requests whose tokens don't fit into memory
// together.
func TestMemoryPressurePreemptsTheNewestRequest(t *testing.T) {
	e, now := newEngine(smallEngine()), time.Unix(1000, 0)
	older := &engineRequest{model: "m", chain: []promptPart{{"a", 150}}, maxTokens: 80, arrived: now}
	newer := &engineRequest{model: "m", chain: []promptPart{{"b", 150}}, maxTokens: 80, arrived: now.Add(time.Second)}
	if !e.submit(older) || !e.submit(newer) {
		t.Fatal("a request was rejected")
	}
	drive(t, e, now, newer)
	if e.preemptions == 0 || older.state != workFinished || older.endCause != "" || newer.generated != 80 {
		t.Errorf("got %d preemptions, older %+v, newer %+v; want preemptions and both complete", e.preemptions, older, newer)
	}
}

// TestUrgentRequestsReplaceQueuedOnes fills the queue and submits an urgent request, a request larger
// than the memory and one past its deadline.
func TestUrgentRequestsReplaceQueuedOnes(t *testing.T) {
	e, now := newEngine(smallEngine()), time.Unix(1000, 0)
	var usual []*engineRequest
	for number := range 2 {
		req := &engineRequest{model: "m", maxTokens: 1, urgency: 5, arrived: now.Add(time.Duration(number))}
		usual = append(usual, req)
		e.submit(req)
	}
	if e.submit(&engineRequest{model: "m", maxTokens: 1, urgency: 5, arrived: now.Add(time.Second)}) {
		t.Error("a full queue accepted another request of the same urgency")
	}
	urgent := &engineRequest{model: "m", maxTokens: 1, urgency: 0, arrived: now.Add(time.Second)}
	if !e.submit(urgent) || usual[1].state != workFinished || usual[1].endCause == "" || e.queue[0] != urgent {
		t.Errorf("the urgent request did not replace the last one in the queue: %+v", usual[1])
	}
	if e.submit(&engineRequest{model: "m", maxTokens: 500, arrived: now}) {
		t.Error("a request larger than the memory was accepted")
	}
	late := &engineRequest{model: "m", maxTokens: 1, arrived: now, deadline: now.Add(-time.Second)}
	e.queue = nil
	e.submit(late)
	e.finishStep(now, nil)
	if late.state != workFinished || late.endCause != "deadline" || late.tokenGenerated {
		t.Errorf("a request past its deadline was not ended before its first token: %+v", late)
	}
}
