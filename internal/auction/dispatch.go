package auction

import (
	"time"

	"seamloom.example/seamloom/internal/codec"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/membership"
)

// nowhere tells whether evacuations leave a route no listed server.
func (d *Desk) nowhere(program *Program, ruling *Ruling) bool {
	listed, _ := d.market.Loads(time.Time{})
	for _, server := range listed {
		if program.Allows(ruling, server) {
			return false
		}
	}
	return len(listed) > 0 && len(program.evacuations) > 0
}

func (d *Desk) choose(now time.Time, entry *ticket) (Bid, bool) {
	program := d.program.Load()
	return d.market.Choose(now, entry.request, entry.ruling, func(server membership.Server) bool {
		return program.Allows(entry.ruling, server)
	}, entry.tried)
}

// dispatchPrefill sends a run's prompt to the pair's first server. Each run
// after the first is an extra try.
func (d *Desk) dispatchPrefill(now time.Time, s *shard, entry *ticket) []Decision {
	request := entry.request
	if !now.Before(request.Limit) {
		return d.giveUp(now, s, entry, failure.DeadlinePassed)
	}
	leaseEnds := d.ServesUntil()
	if !now.Before(leaseEnds) {
		return d.awaitLease(now, s, entry, ready)
	}
	entry.holdless = time.Time{}
	bid, found := d.choose(now, entry)
	if !found {
		return d.giveUp(now, s, entry, failure.Busy)
	}
	return d.takeUp(now, s, entry, bid, leaseEnds)
}

// takeUp sends a run's prompt to the first server of a pair that was chosen now.
func (d *Desk) takeUp(now time.Time, s *shard, entry *ticket, bid Bid, leaseEnds time.Time) []Decision {
	request := entry.request
	var decisions []Decision
	if entry.dispatches == 0 {
		d.budget.First()
	} else {
		cost := 1
		if entry.answering {
			cost = 2
		}
		if entry.dispatches >= entry.ruling.Service.Attempts || !d.budget.Extra(cost) {
			return d.giveUp(now, s, entry, failure.BudgetSpent)
		}
		entry.answering = false
		decisions = append(decisions, Decision{Kind: NoteRetry, ID: request.ID, Run: entry.run + 1})
	}
	entry.dispatches++
	entry.run++
	entry.bid, entry.stage, entry.handle = bid, prefilling, ""
	entry.reserved = true
	d.market.Reserve(bid, request)
	entry.patience = now.Add(leastPatience + 4*bid.Price)
	pair := &codec.Pair{Request: request.ID, Run: entry.run, Prefill: bid.Prefill.server.Name, Decode: bid.Decode.server.Name, Price: bid.Price, HandOver: bid.HandOver}
	return append(decisions,
		Decision{Kind: NotePair, ID: request.ID, Run: entry.run, Pair: pair},
		Decision{Kind: DispatchPrefill, ID: request.ID, Run: entry.run, Request: request, NotAfter: earlier(request.Limit, leaseEnds),
			Server: bid.Prefill.server.Name, Address: bid.Prefill.server.Address})
}

// awaitLease keeps a request that was admitted for the next hold, but not until
// its limit: when none comes soon its caller is told so.
func (d *Desk) awaitLease(now time.Time, s *shard, entry *ticket, st stage) []Decision {
	if entry.holdless.IsZero() {
		entry.holdless = now
	}
	if now.Sub(entry.holdless) > leaseTimeout {
		return d.giveUp(now, s, entry, failure.NoLease)
	}
	entry.stage = st
	return nil
}

func earlier(left, right time.Time) time.Time {
	if left.Before(right) {
		return left
	}
	return right
}

// dispatchDecode hands the prompt's memory over to the pair's second server,
// or to another when that one has no room any more.
func (d *Desk) dispatchDecode(now time.Time, s *shard, entry *ticket, extra bool) []Decision {
	request := entry.request
	if !now.Before(request.Limit) {
		return d.giveUp(now, s, entry, failure.DeadlinePassed)
	}
	leaseEnds := d.ServesUntil()
	if !now.Before(leaseEnds) {
		return d.awaitLease(now, s, entry, handing)
	}
	entry.holdless = time.Time{}
	d.release(entry)
	program := d.program.Load()
	allowed := func(server membership.Server) bool { return program.Allows(entry.ruling, server) }
	source := entry.bid.Prefill.server
	planned := entry.bid.Decode.server.Name
	var bid Bid
	found := false
	if !entry.tried[planned] {
		bid, found = d.market.ChooseDecode(now, request, source.Name, func(server membership.Server) bool { return server.Name == planned && allowed(server) }, nil)
	}
	if !found {
		bid, found = d.market.ChooseDecode(now, request, source.Name, allowed, entry.tried)
	}
	if !found {
		// A prompt that was read is worth a short wait for room.
		if now.Before(entry.patience) {
			entry.stage = handing
			return nil
		}
		return d.giveUp(now, s, entry, failure.Busy)
	}
	if extra && (entry.dispatches >= entry.ruling.Service.Attempts || !d.budget.Extra(1)) {
		return d.giveUp(now, s, entry, failure.BudgetSpent)
	}
	var decisions []Decision
	if extra {
		entry.dispatches++
		decisions = append(decisions, Decision{Kind: NoteRetry, ID: request.ID, Run: entry.run})
	}
	entry.bid, entry.stage, entry.answering = bid, decoding, true
	d.market.Take(bid, request)
	entry.patience = now.Add(leastPatience + 4*bid.HandOver)
	return append(decisions, Decision{Kind: DispatchDecode, ID: request.ID, Run: entry.run, Request: request, NotAfter: earlier(request.Limit, leaseEnds),
		Server: bid.Decode.server.Name, Address: bid.Decode.server.Address, SourceAddress: source.Address, Handle: entry.handle})
}

func (d *Desk) release(entry *ticket) {
	if entry.reserved {
		d.market.Release(entry.bid)
		entry.reserved = false
	}
}

// again tries a request anew if that is allowed: one that is not idempotent
// only when the server certainly did not start.
func (d *Desk) again(now time.Time, s *shard, entry *ticket, outcome Outcome) []Decision {
	if !entry.request.Idempotent && entry.everRan {
		final := Failed
		if outcome == Uncertain {
			final = Unknown
		}
		return d.finish(now, s, entry, final, failure.ServerFailed)
	}
	return d.dispatchPrefill(now, s, entry)
}
