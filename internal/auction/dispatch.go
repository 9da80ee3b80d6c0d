package auction

import (
	"time"

	"seamloom.example/seamloom/internal/codec"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/membership"
)

// nowhere tells whether evacuations leave a route no listed server.
func (d *Dispatcher) allEvacuated(routes *RouteTable, route *RouteDecision) bool {
	listed, _ := d.market.Loads(time.Time{})
	for _, server := range listed {
		if routes.Allows(route, server) {
			return false
		}
	}
	return len(listed) > 0 && len(routes.evacuations) > 0
}

func (d *Dispatcher) choose(now time.Time, entry *requestState) (Bid, bool) {
	routes := d.routes.Load()
	return d.market.Choose(now, entry.request, entry.route, func(server membership.Server) bool {
		return routes.Allows(entry.route, server)
	}, entry.tried)
}

// dispatchPrefill sends a run's prompt to the pair's first server. Each run
// after the first is an extra try.
func (d *Dispatcher) dispatchPrefill(now time.Time, s *shard, entry *requestState) []Decision {
	request := entry.request
	if !now.Before(request.Deadline) {
		return d.abort(now, s, entry, failure.DeadlinePassed)
	}
	leaseEnds := d.ServesUntil()
	if !now.Before(leaseEnds) {
		return d.awaitLease(now, s, entry, readyToPrefill)
	}
	entry.leaseMissingSince = time.Time{}
	bid, found := d.choose(now, entry)
	if !found {
		return d.abort(now, s, entry, failure.Busy)
	}
	return d.startRun(now, s, entry, bid, leaseEnds)
}

// startRun sends a run's prompt to the first server of a pair that was chosen now.
func (d *Dispatcher) startRun(now time.Time, s *shard, entry *requestState, bid Bid, leaseEnds time.Time) []Decision {
	request := entry.request
	var decisions []Decision
	if entry.attempts == 0 {
		d.budget.RecordFirst()
	} else {
		cost := 1
		if entry.decodeDispatched {
			cost = 2
		}
		if entry.attempts >= entry.route.Service.Attempts || !d.budget.Spend(cost) {
			return d.abort(now, s, entry, failure.BudgetSpent)
		}
		entry.decodeDispatched = false
		decisions = append(decisions, Decision{Kind: RecordRetry, ID: request.ID, Run: entry.run + 1})
	}
	entry.attempts++
	entry.run++
	entry.bid, entry.phase, entry.handle = bid, prefilling, ""
	entry.reserved = true
	d.market.Reserve(bid, request)
	entry.serverDeadline = now.Add(minServerTimeout + 4*bid.Price)
	pair := &codec.Pair{Request: request.ID, Run: entry.run, Prefill: bid.Prefill.server.Name, Decode: bid.Decode.server.Name, Price: bid.Price, HandOver: bid.TransferTime}
	return append(decisions,
		Decision{Kind: RecordPair, ID: request.ID, Run: entry.run, Pair: pair},
		Decision{Kind: DispatchPrefill, ID: request.ID, Run: entry.run, Request: request, NotAfter: earlier(request.Deadline, leaseEnds),
			Server: bid.Prefill.server.Name, Address: bid.Prefill.server.Address})
}

// awaitLease keeps a request that was admitted for the next hold, but not until
// its limit: when none comes soon its caller is told so.
func (d *Dispatcher) awaitLease(now time.Time, s *shard, entry *requestState, st phase) []Decision {
	if entry.leaseMissingSince.IsZero() {
		entry.leaseMissingSince = now
	}
	if now.Sub(entry.leaseMissingSince) > leaseTimeout {
		return d.abort(now, s, entry, failure.NoLease)
	}
	entry.phase = st
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
func (d *Dispatcher) dispatchDecode(now time.Time, s *shard, entry *requestState, extra bool) []Decision {
	request := entry.request
	if !now.Before(request.Deadline) {
		return d.abort(now, s, entry, failure.DeadlinePassed)
	}
	leaseEnds := d.ServesUntil()
	if !now.Before(leaseEnds) {
		return d.awaitLease(now, s, entry, readyToDecode)
	}
	entry.leaseMissingSince = time.Time{}
	d.release(entry)
	routes := d.routes.Load()
	allowed := func(server membership.Server) bool { return routes.Allows(entry.route, server) }
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
		if now.Before(entry.serverDeadline) {
			entry.phase = readyToDecode
			return nil
		}
		return d.abort(now, s, entry, failure.Busy)
	}
	if extra && (entry.attempts >= entry.route.Service.Attempts || !d.budget.Spend(1)) {
		return d.abort(now, s, entry, failure.BudgetSpent)
	}
	var decisions []Decision
	if extra {
		entry.attempts++
		decisions = append(decisions, Decision{Kind: RecordRetry, ID: request.ID, Run: entry.run})
	}
	entry.bid, entry.phase, entry.decodeDispatched = bid, decoding, true
	d.market.StartDecode(bid, request)
	entry.serverDeadline = now.Add(minServerTimeout + 4*bid.TransferTime)
	return append(decisions, Decision{Kind: DispatchDecode, ID: request.ID, Run: entry.run, Request: request, NotAfter: earlier(request.Deadline, leaseEnds),
		Server: bid.Decode.server.Name, Address: bid.Decode.server.Address, SourceAddress: source.Address, Handle: entry.handle})
}

func (d *Dispatcher) release(entry *requestState) {
	if entry.reserved {
		d.market.Release(entry.bid)
		entry.reserved = false
	}
}

// again tries a request anew if that is allowed: one that is not idempotent
// only when the server certainly did not start.
func (d *Dispatcher) retry(now time.Time, s *shard, entry *requestState, outcome Outcome) []Decision {
	if !entry.request.Idempotent && entry.mayHaveRun {
		final := Failed
		if outcome == OutcomeUnknown {
			final = Unknown
		}
		return d.finish(now, s, entry, final, failure.ServerFailed)
	}
	return d.dispatchPrefill(now, s, entry)
}
