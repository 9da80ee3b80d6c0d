package window

import "time"

// Ended takes how the call's dispatch ended and tells what is next.
//
// Example:
//
//	decision = calls.Ended(now, ticket, window.Outcome{Result: window.Complete, Handle: handle})
func (window *Window) Ended(now time.Time, ticket *Ticket, outcome Outcome) Decision {
	if ticket.ended || ticket.dispatch.backend == nil {
		return Decision{Kind: Done}
	}
	sent := ticket.dispatch
	ticket.settle()
	ticket.dispatch = dispatch{}
	if outcome.Load != nil {
		sent.backend.answered(now, *outcome.Load)
	}
	if outcome.Warming > 0 {
		sent.backend.coolUntil(now.Add(outcome.Warming))
	}
	if outcome.Result == Gone {
		if sent.source != nil {
			ticket.spent = append(ticket.spent, *sent.source)
		}
		return window.finish(ticket, Decision{Kind: Done})
	}
	if sent.kind == Read {
		return window.readEnded(now, ticket, sent, outcome)
	}
	return window.runEnded(now, ticket, sent, outcome)
}

func (window *Window) readEnded(now time.Time, ticket *Ticket, sent dispatch, outcome Outcome) Decision {
	backend := sent.backend
	switch outcome.Result {
	case Complete:
		window.learn(now, ticket, sent, now)
		ticket.taken, ticket.reader = true, backend
		ticket.source = &Source{Address: backend.server.Address, Handle: outcome.Handle}
		return window.next(now, ticket, lastWord{})
	case Unreached:
		if sent.counted {
			ticket.counted--
		}
	default:
		if !sent.counted {
			ticket.counted++
		}
	}
	backend.trust.fail(now)
	ticket.avoided = append(ticket.avoided, backend)
	return window.next(now, ticket, lastWord{})
}

func (window *Window) runEnded(now time.Time, ticket *Ticket, sent dispatch, outcome Outcome) Decision {
	backend := sent.backend
	if outcome.Result != Unreached {
		ticket.counted++
	}
	switch outcome.Result {
	case Complete:
		window.learn(now, ticket, sent, outcome.First)
		window.ledger(ticket.service.Name).runs.note(now.Sub(sent.sent))
		return window.finish(ticket, Decision{Kind: Done})
	case Unreached, Misdirected:
		ticket.source = sent.source
	case NotStarted:
		if full := outcome.Load != nil && (outcome.Load.Waiting > 0 || outcome.Load.Running >= outcome.Load.Slots); full {
			ticket.source = sent.source
		} else if sent.source != nil {
			// The memory may be gone, or the server be full: it reads the prompt itself.
			ticket.spent = append(ticket.spent, *sent.source)
			ticket.direct = true
			ticket.reader.hands.fail(now)
			backend.hands.fail(now)
			return window.next(now, ticket, lastWord{})
		}
	case Answered:
		ticket.ran = true
		if !ticket.repeatable() || outcome.Status < 500 {
			return window.finish(ticket, Decision{Kind: Through})
		}
		backend.trust.fail(now)
		ticket.avoided = append(ticket.avoided, backend)
		return window.next(now, ticket, lastWord{Kind: Through})
	case Cut:
		ticket.ran, ticket.begun = true, true
	default:
		ticket.ran = true
	}
	backend.trust.fail(now)
	ticket.avoided = append(ticket.avoided, backend)
	return window.next(now, ticket, lastWord{})
}

// lastWord is what there is to give to the origin when nothing more is tried.
type lastWord struct{ Kind DecisionKind }

// next finds the next dispatch, or ends the call.
func (window *Window) next(now time.Time, ticket *Ticket, answer lastWord) Decision {
	if ticket.ran && !ticket.repeatable() || ticket.begun && !ticket.ruling.calls.Resumable || !now.Before(ticket.ends) || ticket.counted >= max(1, ticket.ruling.calls.Tries) {
		return window.end(now, ticket, answer, soon)
	}
	choice := window.weighing(now, ticket)
	var kind DecisionKind
	var found bool
	var way offer
	if ticket.source != nil {
		kind, way, found = choice.find(func() (DecisionKind, offer, bool) { return choice.runner(ticket.reader) })
	} else {
		// A further read is paid as well and takes a try of its own.
		further := ticket.taken || ticket.begun
		mayRead := !ticket.direct && (!further || ticket.counted+1 < ticket.ruling.calls.Tries)
		kind, way, found = choice.find(func() (DecisionKind, offer, bool) { return choice.cheapest(mayRead) })
	}
	if !found || ticket.avoids(way.backend) || ticket.source == nil && choice.late(way) {
		return window.end(now, ticket, answer, choice.relief(way, found))
	}
	if owed := ticket.counted - ticket.paid; owed > 0 {
		if !choice.ledger.purse.spend(now, owed, window.options.FurtherTries, choice.sharers) {
			return window.end(now, ticket, answer, soon)
		}
		ticket.paid += owed
	}
	decision := choice.send(kind, way)
	if kind == Read && ticket.taken {
		ticket.dispatch.counted = true
		ticket.counted++
	}
	return decision
}

// end words the last decision when nothing more is tried.
func (window *Window) end(now time.Time, ticket *Ticket, answer lastWord, after time.Duration) Decision {
	late := !now.Before(ticket.ends)
	switch {
	case answer.Kind != "":
		return window.finish(ticket, Decision{Kind: answer.Kind})
	case ticket.begun:
		return window.finish(ticket, Decision{Kind: Break})
	case ticket.ran && late:
		return window.finish(ticket, Decision{Kind: Refuse, Cause: BrokenLate})
	case ticket.ran:
		return window.finish(ticket, Decision{Kind: Refuse, Cause: Broken})
	case late:
		return window.finish(ticket, Decision{Kind: Refuse, Cause: Late})
	}
	return window.finish(ticket, refusal(Full, after, ticket.ends.Sub(now)))
}

// finish gives back memory that nobody takes and forgets the call.
func (window *Window) finish(ticket *Ticket, decision Decision) Decision {
	if ticket.source != nil {
		ticket.spent = append(ticket.spent, *ticket.source)
		ticket.source = nil
	}
	decision.Free, ticket.spent = ticket.spent, nil
	ticket.ended = true
	window.inFlight.Add(-1)
	return decision
}

// learn takes how long a dispatch took to its answer's beginning.
func (window *Window) learn(now time.Time, ticket *Ticket, sent dispatch, first time.Time) {
	backend := sent.backend
	backend.trust.succeed()
	if sent.source != nil {
		backend.hands.succeed()
		if ticket.reader != nil {
			ticket.reader.hands.succeed()
		}
	}
	if first.IsZero() || first.Before(sent.sent) {
		return
	}
	took := first.Sub(sent.sent)
	if sent.kind == Read {
		window.ledger(ticket.service.Name).pace.note(sent.unread, took)
	}
	if sent.expected > 0 {
		ratio := float64(took) / float64(sent.expected+slack)
		if sent.kind == Read {
			ratio /= usualWait
		}
		backend.slow.note(now, ratio)
	}
}

// slack is what any answer may take longer without telling of a slow server.
const slack = 20 * time.Millisecond

// usualWait is how many times what was expected a read may take without telling of a
// slow server: it waits for the reads of other couriers.
const usualWait = 2
