package scheduler

import "time"

// Ended takes how the call's dispatch ended and tells what is next.
func (w *Scheduler) Ended(now time.Time, ticket *CallState, outcome Outcome) Decision {
	if ticket.ended || ticket.dispatch.backend == nil {
		return Decision{Kind: Done}
	}
	sent := ticket.dispatch
	ticket.settle(now, outcome, w)
	ticket.dispatch = dispatch{}
	if outcome.Load != nil {
		at := now
		if !outcome.FirstByte.IsZero() && outcome.FirstByte.Before(at) {
			at = outcome.FirstByte
		}
		sent.backend.answered(at, *outcome.Load)
	}
	if outcome.Warming > 0 {
		sent.backend.coolUntil(now.Add(outcome.Warming + w.board.Load().warmth(sent.backend.key)))
	}
	if outcome.Result == ClientGone {
		if sent.source != nil {
			ticket.spent = append(ticket.spent, *sent.source)
		}
		return w.finish(now, ticket, Decision{Kind: Done})
	}
	if sent.kind == Prefill {
		return w.readEnded(now, ticket, sent, outcome)
	}
	return w.runEnded(now, ticket, sent, outcome)
}

// Began tells that the first event of a run's answer came. A router that tells it
// notices servers that are stuck before their calls end.
func (w *Scheduler) Began(now time.Time, ticket *CallState) {
	sent := &ticket.dispatch
	if sent.backend == nil || sent.kind != Generate || sent.began {
		return
	}
	sent.began = true
	if sent.source != nil {
		w.keeps(ticket, sent)
	}
	sent.backend.begins.come(now)
	if !w.tells.Load() {
		w.tells.Store(true)
	}
	w.learnMove(now, ticket, *sent, now)
}

func (w *Scheduler) readEnded(now time.Time, ticket *CallState, sent dispatch, outcome Outcome) Decision {
	b := sent.backend
	switch outcome.Result {
	case Complete:
		w.learn(now, ticket, sent, now)
		ticket.taken, ticket.reader = true, b
		ticket.source = &Source{Address: b.server.Address, Handle: outcome.Handle}
		return w.next(now, ticket, lastWord{})
	case Unreachable:
		if sent.counted {
			ticket.counted--
		}
	default:
		if !sent.counted {
			ticket.counted++
		}
	}
	w.failed(now, b, outcome.Result)
	ticket.avoided = append(ticket.avoided, b)
	return w.next(now, ticket, lastWord{})
}

func (w *Scheduler) runEnded(now time.Time, ticket *CallState, sent dispatch, outcome Outcome) Decision {
	b := sent.backend
	if outcome.Result != Unreachable {
		ticket.counted++
	}
	switch outcome.Result {
	case Complete:
		w.learn(now, ticket, sent, outcome.FirstByte)
		w.serviceState(ticket.service.Name).runs.note(now.Sub(sent.sent))
		return w.finish(now, ticket, Decision{Kind: Done})
	case Unreachable, Misdirected:
		ticket.source = sent.source
	case NotStarted:
		if full := outcome.Load != nil && (outcome.Load.Waiting > 0 || outcome.Load.Running >= outcome.Load.Slots); full {
			ticket.source = sent.source
		} else if sent.source != nil {
			// The memory may be gone, or the server be full: it reads the prompt itself.
			ticket.spent = append(ticket.spent, *sent.source)
			ticket.direct = true
			w.serviceState(ticket.service.Name).pressure.lapse(now)
			ticket.reader.hands.fail(now)
			b.takes.failOften(now)
			return w.next(now, ticket, lastWord{})
		}
	case ErrorResponse:
		ticket.ran = true
		if outcome.Status < 500 {
			return w.finish(now, ticket, Decision{Kind: PassThrough})
		}
		w.failed(now, b, outcome.Result)
		if !ticket.idempotent() {
			return w.finish(now, ticket, Decision{Kind: PassThrough})
		}
		ticket.avoided = append(ticket.avoided, b)
		return w.next(now, ticket, lastWord{Kind: PassThrough})
	case Interrupted:
		ticket.ran, ticket.begun = true, true
	default:
		ticket.ran = true
	}
	w.failed(now, b, outcome.Result)
	ticket.avoided = append(ticket.avoided, b)
	return w.next(now, ticket, lastWord{})
}

// lastWord is what there is to give to the origin when nothing more is tried.
type lastWord struct{ Kind DecisionKind }

// next finds the next dispatch, or ends the call.
func (w *Scheduler) next(now time.Time, ticket *CallState, answer lastWord) Decision {
	if reason := ticket.exhausted(now); reason != "" {
		return w.end(now, ticket, answer, soon, reason)
	}
	c := w.weighing(now, ticket)
	var kind DecisionKind
	var found bool
	var way offer
	if ticket.source != nil {
		kind, way, found = c.find(func() (DecisionKind, offer, bool) { return c.runner(ticket.reader) })
	} else {
		// A further read is paid as well and takes a try of its own.
		further := ticket.taken || ticket.begun
		mayRead := !ticket.direct && (!further || ticket.counted+1 < ticket.routeRule.calls.Attempts)
		kind, way, found = c.find(func() (DecisionKind, offer, bool) { return c.cheapest(mayRead) })
	}
	if found && !way.sourced && kind == Generate && ticket.counted > 0 && way.cost > c.dearest() {
		// There is room for the call as a new one, which may be read elsewhere.
		return w.end(now, ticket, answer, shortestRelief, TooCostly)
	}
	if !found || ticket.source == nil && c.late(way) {
		return w.end(now, ticket, answer, c.relief(way, found), NoCapacity)
	}
	if !c.pay() {
		return w.end(now, ticket, answer, soon, BudgetUsed)
	}
	decision := c.send(kind, way)
	if kind == Prefill && ticket.taken {
		ticket.dispatch.counted = true
		ticket.counted++
	}
	return decision
}

// pay counts what the call was sent beyond its first try and has not paid for yet, a
// reserved try first.
func (c *choice) pay() bool {
	ticket, allowance := c.ticket, c.window.options.Retries
	owed := ticket.counted - ticket.paid
	if owed > 0 && ticket.reserved {
		c.serviceState.retries.redeem(c.now, allowance)
		ticket.reserved = false
		ticket.paid++
		owed--
	}
	if !c.serviceState.retries.spend(c.now, owed, allowance, c.routerCount) {
		return false
	}
	ticket.paid = max(ticket.paid, ticket.counted)
	return true
}

// dearest is what a further run may cost: more where a stream has begun, which would be
// broken off.
func (c *choice) dearest() float64 {
	if c.ticket.begun {
		return begunWorth * c.costs.refusal
	}
	return c.costs.refusal
}

// begunWorth is how much more it costs to break a stream off than to refuse a call.
const begunWorth = 4

// exhausted tells why the call is tried no more, or nothing if it may be.
func (t *CallState) exhausted(now time.Time) Reason {
	switch {
	case t.ran && !t.idempotent(), t.begun && !t.routeRule.calls.Resumable:
		return MayHaveRun
	case !now.Before(t.ends):
		return DeadlineReached
	case t.counted >= max(1, t.routeRule.calls.Attempts):
		return AttemptsUsed
	}
	return ""
}

// end words the last decision when nothing more is tried.
func (w *Scheduler) end(now time.Time, ticket *CallState, answer lastWord, after time.Duration, reason Reason) Decision {
	decision := ticket.last(now, answer, after)
	decision.Reason = reason
	return w.finish(now, ticket, decision)
}

// last is the call's last decision, by what its origin may be told.
func (t *CallState) last(now time.Time, answer lastWord, after time.Duration) Decision {
	late := !now.Before(t.ends)
	switch {
	case answer.Kind != "":
		return Decision{Kind: answer.Kind}
	case t.begun:
		return Decision{Kind: BreakStream}
	case t.ran && late:
		return Decision{Kind: Refuse, Cause: OutcomeUnknownLate}
	case t.ran:
		return Decision{Kind: Refuse, Cause: OutcomeUnknown}
	case late:
		return Decision{Kind: Refuse, Cause: DeadlinePassed}
	}
	return refusal(Saturated, after, t.ends.Sub(now))
}

// finish gives back memory that nobody takes and forgets the call.
func (w *Scheduler) finish(now time.Time, ticket *CallState, decision Decision) Decision {
	if ticket.reserved {
		ticket.reserved = false
		w.serviceState(ticket.service.Name).retries.release()
	}
	if ticket.source != nil {
		ticket.spent = append(ticket.spent, *ticket.source)
		ticket.source = nil
	}
	decision.Release, ticket.spent = ticket.spent, nil
	w.unbook(ticket)
	ticket.ended = true
	w.inFlight.Add(-1)
	return decision
}

// learn takes how long a dispatch took to its answer's beginning.
func (w *Scheduler) learn(now time.Time, ticket *CallState, sent dispatch, first time.Time) {
	b := sent.backend
	b.trust.succeed(now)
	if sent.source != nil && ticket.reader != nil {
		b.takes.succeed(now)
		ticket.reader.hands.succeed(now)
		ticket.reader.handed.Store(now.UnixNano())
		if !sent.began {
			w.keeps(ticket, &sent)
			w.learnMove(now, ticket, sent, first)
		}
	}
	if first.IsZero() || first.Before(sent.sent) {
		return
	}
	took := first.Sub(sent.sent)
	if sent.kind == Prefill {
		w.serviceState(ticket.service.Name).pace.note(sent.unread, took)
	}
	if sent.kind == Generate {
		s := w.serviceState(ticket.service.Name)
		s.begin.note(milliseconds(took-sent.expected) + s.begin.milliseconds())
	}
	if sent.expected > 0 {
		ratio := float64(took) / float64(sent.expected+slack)
		if sent.kind == Prefill {
			ratio /= usualWait
		}
		b.slow.note(now, ratio)
	}
}

// learnMove takes how much longer than usual a run with moved memory took to begin.
func (w *Scheduler) learnMove(now time.Time, ticket *CallState, sent dispatch, first time.Time) {
	if sent.source == nil || ticket.reader == nil || first.IsZero() {
		return
	}
	late := milliseconds(first.Sub(sent.sent)-sent.expected) - usualDelay
	sent.backend.moves.note(now, late)
	ticket.reader.moves.note(now, late)
}

// usualDelay is how many milliseconds later than expected a run may begin without
// telling of a slow move.
const usualDelay = 60

// slack is what any answer may take longer without telling of a slow server.
const slack = 20 * time.Millisecond

// usualWait is how many times what was expected a read may take without telling of a
// slow server: it waits for the reads of other routers.
const usualWait = 2
