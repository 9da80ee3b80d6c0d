package hatch

import (
	"strconv"
	"time"

	"seamloom.example/seamloom/internal/auction"
	"seamloom.example/seamloom/internal/codec"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/runtime"
)

// carryOut does one decision. What waits for others runs in its own thread and
// comes back as an event.
func (courier *Courier) carryOut(decision auction.Decision) {
	switch decision.Kind {
	case auction.SendPiece, auction.Finish, auction.PassOn:
		courier.mutex.Lock()
		stream := courier.streams[decision.ID]
		courier.mutex.Unlock()
		if stream != nil {
			stream.put(decision)
		}
		if decision.Kind == auction.Finish {
			for run := 1; run <= decision.Run; run++ {
				courier.stove.EndRun(decision.ID, run)
				courier.forgetToken(decision.ID, run)
			}
		}
	case auction.ClaimInquiry:
		courier.turns.Go(func() { courier.claim(decision) })
	case auction.DispatchPrefill:
		decision.Token = courier.newToken(decision)
		courier.turns.Go(func() { courier.prefill(decision) })
	case auction.DispatchDecode:
		decision.Token = courier.newToken(decision)
		courier.turns.Go(func() { courier.decode(decision) })
	case auction.Cancel:
		decision.Token = courier.tokenOf(decision)
		courier.stove.Cancel(decision)
	case auction.NotePair:
		courier.notePair(decision)
	case auction.NoteRetry:
		courier.noteRetry(decision)
	case auction.GiveOrders:
		courier.turns.Go(func() { courier.giveOrders(decision) })
	case auction.Command:
		courier.turns.Go(func() { courier.command(decision) })
	}
}

func runKey(id string, run int) string { return id + "#" + strconv.Itoa(run) }

func (courier *Courier) newToken(decision auction.Decision) string {
	token := courier.nonce()
	courier.mutex.Lock()
	defer courier.mutex.Unlock()
	courier.tokens[runKey(decision.ID, decision.Run)] = token
	return token
}

func (courier *Courier) tokenOf(decision auction.Decision) string {
	courier.mutex.Lock()
	defer courier.mutex.Unlock()
	return courier.tokens[runKey(decision.ID, decision.Run)]
}

func (courier *Courier) forgetToken(id string, run int) {
	courier.mutex.Lock()
	defer courier.mutex.Unlock()
	delete(courier.tokens, runKey(id, run))
}

// mayAct is asked just before the act, after every wait.
func (courier *Courier) mayAct(decision auction.Decision) bool {
	return courier.turns.Now().Before(decision.NotAfter)
}

func (courier *Courier) prefill(decision auction.Decision) {
	event := auction.Event{Kind: auction.PrefillAnswered, ID: decision.ID, Run: decision.Run}
	event.Outcome, event.Handle, event.Detail = courier.stove.Prefill(decision, func() bool { return courier.mayAct(decision) })
	courier.Apply(event)
}

func (courier *Courier) decode(decision auction.Decision) {
	event := auction.Event{Kind: auction.DecodeEnded, ID: decision.ID, Run: decision.Run}
	event.Outcome, event.Piece, event.Detail = courier.stove.Decode(decision, func() bool { return courier.mayAct(decision) }, func(piece int, text string) {
		courier.Apply(auction.Event{Kind: auction.PieceReceived, ID: decision.ID, Run: decision.Run, Piece: piece, Text: text})
	})
	courier.Apply(event)
}

func (courier *Courier) notePair(decision auction.Decision) {
	if courier.core.Restricted() {
		return
	}
	record, err := codec.WritePair(*decision.Pair, courier.options.Courier, courier.core.Enabled())
	if err == nil {
		courier.journal.append(record, true)
		courier.crumbs.Broadcast()
	}
}

func (courier *Courier) noteRetry(decision auction.Decision) {
	if courier.core.Restricted() {
		return
	}
	record, err := codec.WriteEntry(codec.RetryRecord, codec.Entry{Inquiry: decision.ID, Courier: courier.options.Courier, Run: decision.Run, At: courier.turns.Wall()})
	if err == nil {
		courier.journal.append(record, true)
		courier.crumbs.Broadcast()
	}
}

func (courier *Courier) giveOrders(decision auction.Decision) {
	if !courier.mayAct(decision) || courier.core.Restricted() {
		return
	}
	var answer LedAnswer
	err := courier.followed.Ask(OrdersPath, OrdersQuestion{Duty: decision.Duty, Orders: decision.Orders, Supported: courier.options.Supported}, &answer, actPatience, decision.NotAfter)
	courier.observe("orders_given", "orders", decision.Orders, "trouble", err)
}

func (courier *Courier) command(decision auction.Decision) {
	if courier.core.Restricted() {
		return
	}
	err := courier.stove.Command(decision, func() bool { return courier.mayAct(decision) })
	courier.observe("commanded", "server", decision.Server, "part", decision.Part, "fence", decision.Duty.Fence, "trouble", err)
}

// claim asks the primary for an inquiry's id until it is answered, its limit
// comes, or its origin has had the final word. Asking again is safe: the nonce
// tells this arrival's own claim.
func (courier *Courier) claim(decision auction.Decision) {
	made, err := MadeAt(decision.ID)
	event := auction.Event{Kind: auction.ClaimAnswered, ID: decision.ID, Outcome: auction.NotStarted}
	if err != nil {
		courier.Apply(event)
		return
	}
	question := ClaimQuestion{Made: made, Entry: codec.Entry{Inquiry: decision.ID, Courier: courier.options.Courier, Run: 1,
		At: courier.turns.Wall(), Cause: courier.nonce()}}
	// Without a hold there would be no dispatch: then the caller is told at once
	// that the inquiry never ran, and when to come back.
	ends := courier.turns.Now().Add(claimTime)
	for courier.turns.Alive() && courier.mayAct(decision) && courier.turns.Now().Before(ends) && courier.turns.Now().Before(courier.core.ServesUntil()) {
		var answer LedAnswer
		err := courier.followed.Ask(ClaimPath, question, &answer, time.Second, ends)
		switch kind := failure.KindOf(err); {
		case err == nil && answer.Leads:
			event.Outcome = auction.Done
		case kind == failure.Duplicate:
			event.Outcome, event.Detail = auction.Duplicate, err.Error()
		case kind == failure.TooOld || kind == failure.TooNew:
			event.Outcome, event.Detail = auction.TooOld, err.Error()
		default:
			runtime.Sleep(courier.turns, claimPause)
			continue
		}
		break
	}
	courier.Apply(event)
}
