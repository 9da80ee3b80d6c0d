package auction

import (
	"time"

	"seamloom.example/seamloom/internal/failure"
)

func (d *Desk) refuse(request *Request, cause failure.Code, detail string, retry time.Duration) []Decision {
	d.counters.Refused.Add(1)
	return []Decision{{Kind: Finish, ID: request.ID, Final: Refused, Cause: cause, Detail: detail, Retry: retry}}
}

// giveUp ends a request that gets no further dispatch, with the word that is
// certain: refused when it never ran, unknown when a server may be running it.
func (d *Desk) giveUp(now time.Time, s *shard, entry *ticket, cause failure.Code) []Decision {
	final := Failed
	switch {
	case !entry.everRan && !entry.started:
		final = Refused
	case entry.started && !entry.request.Idempotent && entry.chunks == 0:
		final = Unknown
	}
	var decisions []Decision
	if entry.started {
		decisions = append(decisions, d.cancelCurrent(entry)...)
	}
	return append(decisions, d.finish(now, s, entry, final, cause)...)
}

func (d *Desk) cancelCurrent(entry *ticket) []Decision {
	stall := entry.bid.Prefill
	if entry.stage == decoding {
		stall = entry.bid.Decode
	}
	if stall == nil {
		return nil
	}
	return []Decision{{Kind: Cancel, ID: entry.request.ID, Run: entry.run, Server: stall.server.Name, Address: stall.server.Address}}
}

func (d *Desk) finish(now time.Time, s *shard, entry *ticket, final Final, cause failure.Code) []Decision {
	d.release(entry)
	delete(s.tickets, entry.request.ID)
	d.inFlight.Add(-1)
	d.serviceCount(entry.request.Service).Add(-1)
	d.counters.count(final)
	decision := Decision{Kind: Finish, ID: entry.request.ID, Run: entry.run, Final: final, Cause: cause, Chunks: entry.chunks}
	if final == Refused || final == Failed {
		decision.Retry = d.market.Relief(now)
	}
	return []Decision{decision}
}

// Leave takes the news that the origin closed its connection.
func (d *Desk) Leave(now time.Time, id string) []Decision {
	s, entry := d.find(id, -1)
	if entry == nil {
		return nil
	}
	defer s.mutex.Unlock()
	entry.started = entry.started || entry.stage == prefilling || entry.stage == decoding
	return d.giveUp(now, s, entry, failure.ClientLeft)
}

// Tick ends what has lost its limit or its patience, and goes on with what
// waited for a hold.
func (d *Desk) Tick(now time.Time) []Decision {
	var decisions []Decision
	for position := range d.shards {
		s := &d.shards[position]
		s.mutex.Lock()
		for _, id := range sortedIDs(s.tickets) {
			decisions = append(decisions, d.tickOne(now, s, s.tickets[id])...)
		}
		s.mutex.Unlock()
	}
	return decisions
}

func (d *Desk) tickOne(now time.Time, s *shard, entry *ticket) []Decision {
	dispatched := entry.stage == prefilling || entry.stage == decoding
	if !now.Before(entry.request.Limit) {
		entry.started = entry.started || dispatched
		return d.giveUp(now, s, entry, failure.DeadlinePassed)
	}
	switch entry.stage {
	case ready:
		return d.dispatchPrefill(now, s, entry)
	case handing:
		return d.dispatchDecode(now, s, entry, false)
	case claiming:
		return nil
	}
	if now.Before(entry.patience) {
		return nil
	}
	// The server is dark, or far slower than it asked for.
	stall := entry.bid.Prefill
	if entry.stage == decoding {
		stall = entry.bid.Decode
	}
	if entry.chunks == 0 && !entry.request.Idempotent {
		if d.market.reports(now, stall.server) {
			// It is slow, but there; nothing else could be tried.
			return nil
		}
		// Whether it ran can't be known any more, and waiting would not tell.
		entry.started = true
		return d.giveUp(now, s, entry, failure.ServerFailed)
	}
	d.market.Avoid(now, stall.server.Name)
	decisions := d.cancelCurrent(entry)
	entry.everRan = true
	if entry.chunks > 0 {
		return append(decisions, d.finish(now, s, entry, Failed, failure.ServerFailed)...)
	}
	d.release(entry)
	entry.tried[stall.server.Name] = true
	return append(decisions, d.again(now, s, entry, Uncertain)...)
}
