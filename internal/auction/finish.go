package auction

import (
	"time"

	"seamloom.example/seamloom/internal/failure"
)

// refuse returns the final decision on a request that is not admitted.
func (d *Dispatcher) refuse(request *Request, cause failure.Code, detail string, retry time.Duration) []Decision {
	d.counters.Refused.Add(1)
	return []Decision{{Kind: Finish, ID: request.ID, Final: Refused, Cause: cause, Detail: detail, RetryAfter: retry}}
}

// abort ends a request that gets no further dispatch. The final status is Refused if no
// server can have run the request, Unknown if a server may be running a request that is not
// idempotent and no chunk was sent, and Failed otherwise.
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

// cancelCurrent returns the decision to cancel the request's run at its current server, or none before
// the first bid.
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

// finish removes a request from its shard and returns the final decision, which the router sends to
// the client.
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
		decision.RetryAfter = d.market.RetryAfter(now)
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
	return d.abort(now, s, entry, failure.ClientDisconnected)
}

// Tick ends the requests past their deadline, retries or ends those whose server has timed
// out, and dispatches those that waited for a lease or for decode capacity. Requests are
// visited in order of shard and ID, so that the same events give the same decisions.
func (d *Dispatcher) Tick(now time.Time) []Decision {
	var decisions []Decision
	for position := range d.shards {
		s := &d.shards[position]
		s.mutex.Lock()
		for _, id := range sortedIDs(s.requests) {
			decisions = append(decisions, d.tickRequest(now, s, s.requests[id])...)
		}
		s.mutex.Unlock()
	}
	return decisions
}

func (d *Dispatcher) tickRequest(now time.Time, s *shard, entry *requestState) []Decision {
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

// serverTimedOut handles a server that is unreachable, or far slower than estimated.
func (d *Dispatcher) serverTimedOut(now time.Time, s *shard, entry *requestState) []Decision {
	current := entry.currentServer()
	if entry.chunks == 0 && !entry.request.Idempotent {
		if d.market.hasRecentReport(now, current.server) {
			// The server is slow but reachable. The request is not idempotent, so it must
			// not be sent to another server.
			return nil
		}
		// The server is unreachable, so waiting would not show whether the request ran.
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
