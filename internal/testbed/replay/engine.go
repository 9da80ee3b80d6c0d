package replay

import (
	"slices"
	"sort"
	"time"
)

// EngineConfig describes the engine of a model server: its capacity, speed and limits.
type EngineConfig struct {
	// Slots, Queue and Connections are the largest numbers of running requests, of queued requests and
	// of open connections.
	Slots, Queue, Connections int
	// Step is the fixed part of the length of a step. Each decoding request adds StepPerSlot.
	Step, StepPerSlot time.Duration
	// TokensPerMillisecond is the speed of the prefill.
	TokensPerMillisecond float64
	// Chunk is the largest number of prompt tokens that one step prefills. Capacity is the size of the
	// memory, and Block the unit in which memory is allocated, both in tokens.
	Chunk, Block, Capacity int
	// A transfer of a KV cache takes TransferSetup plus the time that a link with LinkMegabits per
	// second needs for TokenBytes bytes per token.
	TokenBytes, LinkMegabits float64
	TransferSetup            time.Duration
	// HandleLifetime is how long a handle to a KV cache is valid. PhaseSwitch is how long a change of
	// the phase takes once no request is running.
	HandleLifetime, PhaseSwitch time.Duration
	// ReportLag is the usual minimum age of a load report.
	ReportLag time.Duration
	// ColdStart is how long a new server is cold. ColdPerSecond is the number of requests per second
	// that its service allows while the server is cold.
	ColdStart     time.Duration
	ColdPerSecond float64
	// ConnectionIdle is how long an idle connection stays open.
	ConnectionIdle time.Duration
	// PlainSteps is set for a server without a model: the number of steps that the server takes
	// before it sends the whole response to a request.
	PlainSteps int
}

// engine processes requests in batches: each step generates one token for every request that is
// decoding, and prefills a chunk of the prompts that remain. Callers pass in the time.
type engine struct {
	config  EngineConfig
	cache   *prefixCache
	running []*engineRequest
	queue   []*engineRequest
	// mixedPrefill means that prompts are prefilled between the decode steps of other requests, at
	// half the speed and in chunks a quarter as large.
	mixedPrefill bool
	preemptions  int
}

func newEngine(config EngineConfig) *engine {
	return &engine{config: config, cache: newPrefixCache(config.Capacity, config.Block)}
}

// submit queues a request, and reports whether it did. It rejects a request that is larger than the
// memory. If the queue is full, the request replaces the last queued request if that is less urgent
// and has no token yet, and is rejected otherwise.
func (e *engine) submit(req *engineRequest) bool {
	needs := e.cache.roundUp(req.maxTokens)
	for _, element := range req.chain {
		needs += e.cache.roundUp(element.tokens)
	}
	if needs > e.config.Capacity {
		return false
	}
	if len(e.queue) >= e.config.Queue {
		last := e.queue[len(e.queue)-1]
		if last.urgency <= req.urgency || last.tokenGenerated {
			return false
		}
		e.queue = e.queue[:len(e.queue)-1]
		e.finish(last, "pushed out")
	}
	e.enqueue(req)
	return true
}

// enqueue inserts a request into the queue, which is ordered by urgency, then by arrival.
func (e *engine) enqueue(req *engineRequest) {
	req.state = workQueued
	position := sort.Search(len(e.queue), func(position int) bool {
		other := e.queue[position]
		if other.urgency != req.urgency {
			return other.urgency > req.urgency
		}
		return other.arrived.After(req.arrived)
	})
	e.queue = slices.Insert(e.queue, position, req)
}

// finish removes a request from the engine in any state, and records the cause.
func (e *engine) finish(req *engineRequest, cause string) {
	if req.state == workFinished {
		return
	}
	e.queue = slices.DeleteFunc(e.queue, func(other *engineRequest) bool { return other == req })
	e.running = slices.DeleteFunc(e.running, func(other *engineRequest) bool { return other == req })
	e.release(req)
	req.state, req.endCause = workFinished, cause
}

// release frees a request's memory. If the prefill of the request was not complete, the prompt parts
// that no other request uses are removed from the cache.
func (e *engine) release(req *engineRequest) {
	e.cache.unpin(req.pinned)
	if req.state == workPrefilling {
		e.cache.dropIncomplete(req.pinned)
	}
	e.cache.reservedTokens -= req.reserved
	req.pinned, req.reserved = nil, 0
}

// busy reports whether the engine has requests.
func (e *engine) busy() bool { return len(e.running)+len(e.queue) > 0 }

// admit starts queued requests as long as there are free slots and memory. It skips requests whose
// KV cache transfer has not ended.
func (e *engine) admit(now time.Time) {
	for position := 0; position < len(e.queue) && len(e.running) < e.config.Slots; {
		req := e.queue[position]
		if req.notBefore.After(now) {
			position++
			continue
		}
		missing := e.cache.missingTokens(req.model, req.chain)
		pinned, fits := e.cache.pin(req.model, req.chain)
		if !fits {
			return
		}
		reserved := e.cache.roundUp(req.generated)
		if !e.cache.reserve(reserved) {
			e.cache.unpin(pinned)
			return
		}
		e.queue = slices.Delete(e.queue, position, position+1)
		req.pinned, req.reserved, req.promptLeft = pinned, reserved, missing+req.generated
		if req.fetched {
			req.promptLeft, req.fetched = 0, false
		}
		req.state = workPrefilling
		e.running = append(e.running, req)
	}
}

// prefillTime returns how long the prefill of the tokens takes.
func (e *engine) prefillTime(tokens int) time.Duration {
	length := time.Duration(float64(tokens) / e.config.TokensPerMillisecond * float64(time.Millisecond))
	if e.mixedPrefill {
		length *= 2
	}
	return length
}

// planStep starts a step. It returns how long the step takes, and how many tokens of each prompt the
// step prefills.
func (e *engine) planStep(now time.Time) (time.Duration, map[*engineRequest]int) {
	e.admit(now)
	length, chunk, chunks, decoding := e.config.Step, e.config.Chunk, map[*engineRequest]int{}, 0
	if e.mixedPrefill {
		chunk /= 4
	}
	for _, req := range e.running {
		if req.state == workDecoding {
			decoding++
			continue
		}
		share := min(req.promptLeft, chunk)
		chunk -= share
		chunks[req] = share
		length += e.prefillTime(share)
	}
	return length + time.Duration(decoding)*e.config.StepPerSlot, chunks
}

// finishStep completes a step: it generates tokens, starts to decode requests whose prompts are
// prefilled, and ends requests past their deadline. It returns the requests that progressed or ended.
func (e *engine) finishStep(now time.Time, chunks map[*engineRequest]int) []*engineRequest {
	var progressed []*engineRequest
	for _, req := range slices.Clone(e.running) {
		if !req.deadline.IsZero() && now.After(req.deadline) {
			e.finish(req, "deadline")
			progressed = append(progressed, req)
			continue
		}
		if req.state == workFinished || !slices.Contains(e.running, req) {
			continue
		}
		if req.state == workPrefilling {
			chunk, planned := chunks[req]
			req.promptLeft -= chunk
			if !planned || req.promptLeft > 0 {
				continue
			}
			req.state = workDecoding
			if req.prefillOnly {
				e.running = slices.DeleteFunc(e.running, func(other *engineRequest) bool { return other == req })
				req.state = workFinished
				progressed = append(progressed, req)
				continue
			}
		}
		if !e.generateToken(req) {
			continue
		}
		progressed = append(progressed, req)
		if req.generated >= req.maxTokens {
			e.finish(req, "")
		}
	}
	for _, req := range slices.Clone(e.queue) {
		if !req.deadline.IsZero() && now.After(req.deadline) {
			e.finish(req, "deadline")
			progressed = append(progressed, req)
		}
	}
	return progressed
}

// generateToken generates one token of req. If memory runs out, the newest of the least urgent
// requests is preempted: it returns to the queue and its prompt is prefilled again. generateToken
// returns false if req itself was preempted.
func (e *engine) generateToken(req *engineRequest) bool {
	for e.cache.roundUp(req.generated+1) > req.reserved {
		if e.cache.reserve(e.config.Block) {
			req.reserved += e.config.Block
			continue
		}
		victim := req
		for _, other := range e.running {
			if other.urgency > victim.urgency || other.urgency == victim.urgency && other.arrived.After(victim.arrived) {
				victim = other
			}
		}
		e.running = slices.DeleteFunc(e.running, func(other *engineRequest) bool { return other == victim })
		e.release(victim)
		e.enqueue(victim)
		e.preemptions++
		if victim == req {
			return false
		}
	}
	req.generated++
	req.tokenGenerated = true
	return true
}
