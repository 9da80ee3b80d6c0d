package auction

import (
	"time"

	"seamloom.example/seamloom/internal/failure"
)

// refuse answers a request that is not admitted.
func (d *Dispatcher) refuse(request *Request, cause failure.Code, detail string, retry time.Duration) []Decision {
	d.counters.Refused.Add(1)
	return []Decision{{Kind: Finish, ID: request.ID, Final: Refused, Cause: cause, Detail: detail, Retry: retry}}
}

// abort ends a request that gets no further dispatch, with the status that is certain:
// refused when it never ran, unknown when a server may be running it.
func (d *Dispatcher) abort(now time.Time, s *shard, entry *requestState, cause failure.Code) []Decision {
	final := Failed
	switch {
	case !entry.mayHaveRun && !entry.mayBeRunning:
		final = Refused
	case entry.mayBeRunning && !entry.request.Idempotent && entry.chunks == 0:
		final = Unknown
	}
	var decisions []Decision
	if entry.mayBeRunning {
		decisions = append(decisions, d.cancelCurrent(entry)...)
	}
	return append(decisions, d.finish(now, s, entry, final, cause)...)
}

// cancelCurrent tells the server that was dispatched to last to give up.
func (d *Dispatcher) cancelCurrent(entry *requestState) []Decision {
	current := entry.currentServer()
	if current == nil {
		return nil
	}
	return []Decision{{
		Kind:    Cancel,
		ID:      entry.request.ID,
		Run:     entry.run,
		Server:  current.server.Name,
		Address: current.server.Address,
	}}
}

// finish removes a request, whose shard is locked, and sends its final status.
func (d *Dispatcher) finish(
	now time.Time,
	s *shard,
	entry *requestState,
	final FinalStatus,
	cause failure.Code,
) []Decision {
	d.release(entry)
	delete(s.requests, entry.request.ID)
	d.inFlight.Add(-1)
	d.serviceCount(entry.request.Service).Add(-1)
	d.counters.count(final)
	decision := Decision{
		Kind:   Finish,
		ID:     entry.request.ID,
		Run:    entry.run,
		Final:  final,
		Cause:  cause,
		Chunks: entry.chunks,
	}
	if final == Refused || final == Failed {
		decision.Retry = d.market.RetryAfter(now)
	}
	return []Decision{decision}
}

// ClientDisconnected ends a request whose client closed its connection.
func (d *Dispatcher) ClientDisconnected(now time.Time, id string) []Decision {
	s, entry := d.find(id, -1)
	if entry == nil {
		return nil
	}
	defer s.mutex.Unlock()
	entry.mayBeRunning = entry.mayBeRunning || entry.dispatched()
	return d.abort(now, s, entry, failure.ClientLeft)
}

// Tick ends the requests past their deadline, retries or ends those whose server has timed
// out, and dispatches those that waited for a lease. Requests are visited by shard and ID,
// so that the same events give the same decisions.
func (d *Dispatcher) Tick(now time.Time) []Decision {
	var decisions []Decision
	for position := range d.shards {
		s := &d.shards[position]
		s.mutex.Lock()
		for _, id := range sortedIDs(s.requests) {
			decisions = append(decisions, d.tickOne(now, s, s.requests[id])...)
		}
		s.mutex.Unlock()
	}
	return decisions
}

func (d *Dispatcher) tickOne(now time.Time, s *shard, entry *requestState) []Decision {
	if !now.Before(entry.request.Deadline) {
		entry.mayBeRunning = entry.mayBeRunning || entry.dispatched()
		return d.abort(now, s, entry, failure.DeadlinePassed)
	}
	switch entry.phase {
	case readyToPrefill:
		return d.dispatchPrefill(now, s, entry)
	case readyToDecode:
		return d.dispatchDecode(now, s, entry, false)
	case claiming:
		return nil
	}
	if now.Before(entry.serverDeadline) {
		return nil
	}
	return d.serverTimedOut(now, s, entry)
}

// serverTimedOut handles a server that is unreachable, or far slower than its ask.
func (d *Dispatcher) serverTimedOut(now time.Time, s *shard, entry *requestState) []Decision {
	current := entry.currentServer()
	if entry.chunks == 0 && !entry.request.Idempotent {
		if d.market.reports(now, current.server) {
			// It is slow but reachable, and the request may not be sent elsewhere.
			return nil
		}
		// Whether it ran can't be known any more, and waiting would not help.
		entry.mayBeRunning = true
		return d.abort(now, s, entry, failure.ServerFailed)
	}
	d.market.Avoid(now, current.server.Name)
	decisions := d.cancelCurrent(entry)
	entry.mayHaveRun = true
	if entry.chunks > 0 {
		return append(decisions, d.finish(now, s, entry, Failed, failure.ServerFailed)...)
	}
	d.release(entry)
	entry.tried[current.server.Name] = true
	return append(decisions, d.retry(now, s, entry, OutcomeUnknown)...)
}
