package auction

import (
	"time"

	"seamloom.example/seamloom/internal/codec"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/membership"
)

// allEvacuated reports whether zones are evacuated and the route allows none of the listed servers.
func (d *Dispatcher) allEvacuated(routes *RouteTable, route *RouteDecision) bool {
	listed, _ := d.market.Loads(time.Time{})
	for _, server := range listed {
		if routes.Allows(route, server) {
			return false
		}
	}
	return len(listed) > 0 && len(routes.evacuations) > 0
}

// choose finds the pair of servers for a request among those that its route allows.
func (d *Dispatcher) choose(now time.Time, entry *requestState) (Bid, bool) {
	routes := d.routes.Load()
	return d.market.Choose(now, entry.request, entry.route, func(server membership.Server) bool {
		return routes.Allows(entry.route, server)
	}, entry.tried)
}

// dispatchPrefill chooses a pair and starts a run with it. Each run after the first is a
// retry.
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

// startRun sends the prompt to the prefill server of a newly chosen pair, and reserves a
// slot at the pair's decode server. The handle is cleared, because a run uses only the KV
// cache that its own prefill creates. A retry is charged to the budget before its dispatch.
func (d *Dispatcher) startRun(now time.Time, s *shard, entry *requestState, bid Bid, leaseEnds time.Time) []Decision {
	request := entry.request
	var decisions []Decision
	if entry.attempts == 0 {
		d.budget.RecordFirst()
	} else {
		cost := 1
		// After a dispatched decode, the new run repeats both the prefill and the decode.
		if entry.decodeDispatched {
			cost = 2
		}
		if entry.attempts >= entry.route.Service.MaxAttempts || !d.budget.Spend(cost) {
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
	pair := &codec.Pair{
		Request:      request.ID,
		Attempt:      entry.run,
		Prefill:      bid.Prefill.server.Name,
		Decode:       bid.Decode.server.Name,
		Price:        bid.Price,
		TransferTime: bid.TransferTime,
	}
	return append(decisions,
		Decision{Kind: RecordPair, ID: request.ID, Run: entry.run, Pair: pair},
		Decision{
			Kind:     DispatchPrefill,
			ID:       request.ID,
			Run:      entry.run,
			Request:  request,
			NotAfter: earlier(request.Deadline, leaseEnds),
			Server:   bid.Prefill.server.Name,
			Address:  bid.Prefill.server.Address,
		})
}

// awaitLease keeps an admitted request waiting for the next lease. After leaseTimeout it
// aborts the request with failure.NoLease rather than let it wait until its deadline.
func (d *Dispatcher) awaitLease(now time.Time, s *shard, entry *requestState, next phase) []Decision {
	if entry.leaseMissingSince.IsZero() {
		entry.leaseMissingSince = now
	}
	if now.Sub(entry.leaseMissingSince) > leaseTimeout {
		return d.abort(now, s, entry, failure.NoLease)
	}
	entry.phase = next
	return nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// dispatchDecode has the pair's decode server fetch the KV cache and stream the reply. If that
// server no longer has capacity, it selects another decode server. If retry is set, the previous
// decode certainly did not start, and the retry is charged to the budget before its dispatch.
func (d *Dispatcher) dispatchDecode(now time.Time, s *shard, entry *requestState, retry bool) []Decision {
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
	source := entry.bid.Prefill.server
	bid, found := d.chooseDecode(now, entry)
	if !found {
		// The prefill is already done: wait for decode capacity until serverDeadline
		// rather than abort at once.
		if now.Before(entry.serverDeadline) {
			entry.phase = readyToDecode
			return nil
		}
		return d.abort(now, s, entry, failure.Busy)
	}
	if retry && (entry.attempts >= entry.route.Service.MaxAttempts || !d.budget.Spend(1)) {
		return d.abort(now, s, entry, failure.BudgetSpent)
	}
	var decisions []Decision
	if retry {
		entry.attempts++
		decisions = append(decisions, Decision{Kind: RecordRetry, ID: request.ID, Run: entry.run})
	}
	entry.bid, entry.phase, entry.decodeDispatched = bid, decoding, true
	d.market.StartDecode(bid, request)
	entry.serverDeadline = now.Add(minServerTimeout + 4*bid.TransferTime)
	return append(decisions, Decision{
		Kind:          DispatchDecode,
		ID:            request.ID,
		Run:           entry.run,
		Request:       request,
		NotAfter:      earlier(request.Deadline, leaseEnds),
		Server:        bid.Decode.server.Name,
		Address:       bid.Decode.server.Address,
		SourceAddress: source.Address,
		Handle:        entry.handle,
	})
}

// chooseDecode finds the decode server for a finished prefill: the planned server if it was
// not tried and still has capacity, otherwise the cheapest server that was not tried.
func (d *Dispatcher) chooseDecode(now time.Time, entry *requestState) (Bid, bool) {
	routes := d.routes.Load()
	allowed := func(server membership.Server) bool { return routes.Allows(entry.route, server) }
	source, planned := entry.bid.Prefill.server.Name, entry.bid.Decode.server.Name
	if !entry.tried[planned] {
		isPlanned := func(server membership.Server) bool { return server.Name == planned && allowed(server) }
		if bid, found := d.market.ChooseDecode(now, entry.request, source, isPlanned, nil); found {
			return bid, true
		}
	}
	return d.market.ChooseDecode(now, entry.request, source, allowed, entry.tried)
}

// release frees the reserved decode slot, if the request has one.
func (d *Dispatcher) release(entry *requestState) {
	if entry.reserved {
		d.market.Release(entry.bid)
		entry.reserved = false
	}
}

// retry starts another run if the request may be retried, and ends the request otherwise. A
// request that is not idempotent runs at most once: it is retried only if no server can have
// started it.
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
