package auction

import (
	"time"

	"seamloom.example/seamloom/internal/failure"
)

func (d *Dispatcher) refuse(request *Request, cause failure.Code, detail string, retry time.Duration) []Decision {
	d.counters.Refused.Add(1)
	return []Decision{{Kind: Finish, ID: request.ID, Final: Refused, Cause: cause, Detail: detail, Retry: retry}}
}

// abort ends a request that gets no further dispatch, with the word that is
// certain: refused when it never ran, unknown when a server may be running it.
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

func (d *Dispatcher) cancelCurrent(entry *requestState) []Decision {
	server := entry.bid.Prefill
	if entry.phase == decoding {
		server = entry.bid.Decode
	}
	if server == nil {
		return nil
	}
	return []Decision{{Kind: Cancel, ID: entry.request.ID, Run: entry.run, Server: server.server.Name, Address: server.server.Address}}
}

func (d *Dispatcher) finish(now time.Time, s *shard, entry *requestState, final FinalStatus, cause failure.Code) []Decision {
	d.release(entry)
	delete(s.requests, entry.request.ID)
	d.inFlight.Add(-1)
	d.serviceCount(entry.request.Service).Add(-1)
	d.counters.count(final)
	decision := Decision{Kind: Finish, ID: entry.request.ID, Run: entry.run, Final: final, Cause: cause, Chunks: entry.chunks}
	if final == Refused || final == Failed {
		decision.Retry = d.market.RetryAfter(now)
	}
	return []Decision{decision}
}

// ClientDisconnected takes the news that the origin closed its connection.
func (d *Dispatcher) ClientDisconnected(now time.Time, id string) []Decision {
	s, entry := d.find(id, -1)
	if entry == nil {
		return nil
	}
	defer s.mutex.Unlock()
	entry.mayBeRunning = entry.mayBeRunning || entry.phase == prefilling || entry.phase == decoding
	return d.abort(now, s, entry, failure.ClientLeft)
}

// Tick ends what has lost its limit or its patience, and goes on with what
// waited for a hold.
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
	dispatched := entry.phase == prefilling || entry.phase == decoding
	if !now.Before(entry.request.Deadline) {
		entry.mayBeRunning = entry.mayBeRunning || dispatched
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
	// The server is dark, or far slower than it asked for.
	server := entry.bid.Prefill
	if entry.phase == decoding {
		server = entry.bid.Decode
	}
	if entry.chunks == 0 && !entry.request.Idempotent {
		if d.market.reports(now, server.server) {
			// It is slow, but there; nothing else could be tried.
			return nil
		}
		// Whether it ran can't be known any more, and waiting would not tell.
		entry.mayBeRunning = true
		return d.abort(now, s, entry, failure.ServerFailed)
	}
	d.market.Avoid(now, server.server.Name)
	decisions := d.cancelCurrent(entry)
	entry.mayHaveRun = true
	if entry.chunks > 0 {
		return append(decisions, d.finish(now, s, entry, Failed, failure.ServerFailed)...)
	}
	d.release(entry)
	entry.tried[server.server.Name] = true
	return append(decisions, d.retry(now, s, entry, OutcomeUnknown)...)
}
