package scheduler

import "time"

// ResponseTimeout with a server that says nothing, in multiples of what was expected and at
// least so long. The values are ours.
const (
	readPatience      = 4
	leastReadPatience = 800 * time.Millisecond
	runPatience       = 8
	leastRunPatience  = time.Second
	// easilyRead is how long a prompt may be that another runner could read itself.
	easilyRead = 3000
)

// send notes a dispatch as under way and words the decision.
func (c *choice) send(kind DecisionKind, o offer) Decision {
	ticket, b := c.ticket, o.backend
	now := c.now
	ticket.dispatch = dispatch{backend: b, kind: kind, sent: now, unread: o.unread, expected: span(o.own)}
	decision := Decision{Kind: kind, Server: b.server, Deadline: ticket.ends, Priority: ticket.routeRule.calls.Rank}
	if len(ticket.spent) > 0 {
		decision.Release, ticket.spent = ticket.spent, nil
	}
	sent := &ticket.dispatch
	b.idle.take(now)
	if kind == Prefill {
		sent.tokens = ticket.call.PromptTokens
		c.book(b, sent.unread)
		b.reading.Add(1)
		b.readings.wait(now)
		b.readingTokens.Add(int64(sent.unread))
		decision.ResponseTimeout = c.patience(max(readPatience*sent.expected, leastReadPatience))
	} else {
		c.window.unbook(ticket)
		sent.tokens = ticket.tokens()
		if o.sourced {
			sent.source, ticket.source = ticket.source, nil
		} else if ticket.source != nil {
			decision.Release = append(decision.Release, *ticket.source)
			ticket.source, ticket.direct = nil, true
		}
		decision.Source = sent.source
		b.running.Add(1)
		b.begins.wait(now)
		if sent.source == nil {
			p := c.pace / b.slow.factor(now)
			if b.splits() {
				p /= 2
			}
			b.queue(now, span(float64(sent.unread)/p))
			c.serviceState.pressure.readDirectly(now, sent.unread)
		}
		if ticket.idempotent() && !ticket.begun && c.goesOn() {
			decision.ResponseTimeout = c.patience(max(runPatience*sent.expected, leastRunPatience))
		}
		decision.StreamTimeout = c.silence()
	}
	b.account.memory.Add(int64(sent.tokens))
	// What reads a prompt keeps it from now on, as far as the next calls go; memory that
	// is moved may not come.
	sent.room, sent.known = c.memory(b), b.kept.prefix(ticket.call.Segments)
	if !o.sourced {
		c.window.keeps(ticket, sent)
	}
	return decision
}

// goesOn tells whether the call could go on elsewhere if its run were given up: a long
// prompt is read again only by a reader, which is a try of its own.
func (c *choice) goesOn() bool {
	ticket := c.ticket
	return ticket.call.PromptTokens <= easilyRead || ticket.counted+2 < ticket.routeRule.calls.Attempts
}

// patience is given only when there is time and leave for another try behind it.
func (c *choice) patience(wanted time.Duration) time.Duration {
	ticket := c.ticket
	left := ticket.ends.Sub(c.now)
	if wanted > left*2/3 || ticket.counted+1 >= ticket.routeRule.calls.Attempts {
		return 0
	}
	// The retry is reserved now: giving up without one behind it would lose the call.
	if !ticket.reserved && !c.serviceState.retries.reserve(c.now, c.window.options.Retries, c.routerCount) {
		return 0
	}
	ticket.reserved = true
	return wanted
}

// keeps notes that a server keeps a call's prompt.
func (w *Scheduler) keeps(ticket *CallState, sent *dispatch) {
	sent.backend.kept.note(ticket.call.Segments, sent.room, w.routerCount(), w.mostKept())
}

// settle takes a dispatch off the accounts.
func (t *CallState) settle(now time.Time, outcome Outcome, window *Scheduler) {
	sent := &t.dispatch
	b := sent.backend
	if sent.kind == Prefill {
		window.unbook(t)
		b.reading.Add(-1)
		b.readingTokens.Add(-int64(sent.unread))
		arrive(&b.readings, now, outcome.came())
	} else {
		b.running.Add(-1)
		if !sent.began {
			arrive(&b.begins, now, outcome.came())
		}
	}
	b.account.memory.Add(-int64(sent.tokens))
	b.idle.give(now, outcome.KeepAlive)
	if sent.source == nil && !sent.began && outcome.Result != Complete && outcome.Result != Interrupted {
		b.kept.forget(t.call.Segments, sent.known)
	}
}

func arrive(p *progress, now time.Time, came bool) {
	if came {
		p.come(now)
	} else {
		p.leave()
	}
}

// came tells whether the server was heard.
func (o Outcome) came() bool {
	return o.Result != Unreachable && o.Result != TimedOut && o.Result != ClientGone
}

// mostKept bounds the parts remembered for each server.
func (w *Scheduler) mostKept() int {
	return max(leastKept, mostKeptParts/max(1, len(w.board.Load().all)))
}

const (
	leastKept     = 64
	mostKeptParts = 40_000
)
