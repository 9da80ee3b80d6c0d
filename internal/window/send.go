package window

import "time"

// Patience with a server that says nothing, in multiples of what was expected and at
// least so long. The values are ours.
const (
	readPatience      = 4
	leastReadPatience = 800 * time.Millisecond
	runPatience       = 8
	leastRunPatience  = time.Second
)

// send notes a dispatch as under way and words the decision.
func (choice *choice) send(kind DecisionKind, offer offer) Decision {
	ticket, backend := choice.ticket, offer.backend
	now := choice.now
	ticket.dispatch = dispatch{backend: backend, kind: kind, sent: now, unread: offer.unread, expected: span(offer.own)}
	decision := Decision{Kind: kind, Server: backend.server, Ends: ticket.ends, Urgency: ticket.ruling.calls.Rank}
	if len(ticket.spent) > 0 {
		decision.Free, ticket.spent = ticket.spent, nil
	}
	sent := &ticket.dispatch
	if offer.unread > 0 {
		choice.ledger.pressure.read(now, offer.unread)
	}
	if kind == Read {
		sent.tokens = ticket.call.PromptTokens
		backend.reading.Add(1)
		backend.readingTokens.Add(int64(sent.unread))
		decision.Patience = choice.patience(max(readPatience*sent.expected, leastReadPatience))
	} else {
		sent.tokens = ticket.tokens()
		sent.source, ticket.source = ticket.source, nil
		decision.Source = sent.source
		backend.running.Add(1)
		if sent.source == nil {
			pace := choice.pace / backend.slow.factor(now)
			if backend.splits() {
				pace /= 2
			}
			backend.queue(now, span(float64(sent.unread)/pace))
		}
		if ticket.repeatable() && !ticket.begun {
			decision.Patience = choice.patience(max(runPatience*sent.expected, leastRunPatience))
		}
	}
	backend.account.memory.Add(int64(sent.tokens))
	backend.kept.note(ticket.call.Parts, choice.memory(backend), choice.sharers, choice.window.mostKept())
	return decision
}

// patience is given only when there is time and leave for another try behind it.
func (choice *choice) patience(wanted time.Duration) time.Duration {
	ticket := choice.ticket
	left := ticket.ends.Sub(choice.now)
	if wanted > left*2/3 || ticket.counted+1 >= ticket.ruling.calls.Tries {
		return 0
	}
	if !choice.ledger.purse.holds(choice.now, 1, choice.window.options.FurtherTries, choice.sharers) {
		return 0
	}
	return wanted
}

// settle takes a dispatch off the accounts.
func (ticket *Ticket) settle() {
	sent := &ticket.dispatch
	backend := sent.backend
	if sent.kind == Read {
		backend.reading.Add(-1)
		backend.readingTokens.Add(-int64(sent.unread))
	} else {
		backend.running.Add(-1)
	}
	backend.account.memory.Add(-int64(sent.tokens))
}

// mostKept bounds the parts remembered for each server.
func (window *Window) mostKept() int {
	return max(leastKept, mostKeptParts/max(1, len(window.board.Load().all)))
}

const (
	leastKept     = 64
	mostKeptParts = 40_000
)
