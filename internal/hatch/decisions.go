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
func (router *Router) carryOut(decision auction.Decision) {
	switch decision.Kind {
	case auction.SendChunk, auction.Finish, auction.PassOn:
		router.mutex.Lock()
		stream := router.streams[decision.ID]
		router.mutex.Unlock()
		if stream != nil {
			stream.put(decision)
		}
		if decision.Kind == auction.Finish {
			for run := 1; run <= decision.Run; run++ {
				router.modelServer.EndRun(decision.ID, run)
				router.forgetToken(decision.ID, run)
			}
		}
	case auction.ClaimRequest:
		router.runtime.Go(func() { router.claim(decision) })
	case auction.DispatchPrefill:
		decision.Token = router.newToken(decision)
		router.runtime.Go(func() { router.prefill(decision) })
	case auction.DispatchDecode:
		decision.Token = router.newToken(decision)
		router.runtime.Go(func() { router.decode(decision) })
	case auction.Cancel:
		decision.Token = router.tokenOf(decision)
		router.modelServer.Cancel(decision)
	case auction.NotePair:
		router.notePair(decision)
	case auction.NoteRetry:
		router.noteRetry(decision)
	case auction.GiveOrders:
		router.runtime.Go(func() { router.giveOrders(decision) })
	case auction.Command:
		router.runtime.Go(func() { router.command(decision) })
	}
}

func runKey(id string, run int) string { return id + "#" + strconv.Itoa(run) }

func (router *Router) newToken(decision auction.Decision) string {
	token := router.nonce()
	router.mutex.Lock()
	defer router.mutex.Unlock()
	router.tokens[runKey(decision.ID, decision.Run)] = token
	return token
}

func (router *Router) tokenOf(decision auction.Decision) string {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	return router.tokens[runKey(decision.ID, decision.Run)]
}

func (router *Router) forgetToken(id string, run int) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	delete(router.tokens, runKey(id, run))
}

// mayAct is asked just before the act, after every wait.
func (router *Router) mayAct(decision auction.Decision) bool {
	return router.runtime.Now().Before(decision.NotAfter)
}

func (router *Router) prefill(decision auction.Decision) {
	event := auction.Event{Kind: auction.PrefillAnswered, ID: decision.ID, Run: decision.Run}
	event.Outcome, event.Handle, event.Detail = router.modelServer.Prefill(decision, func() bool { return router.mayAct(decision) })
	router.Apply(event)
}

func (router *Router) decode(decision auction.Decision) {
	event := auction.Event{Kind: auction.DecodeEnded, ID: decision.ID, Run: decision.Run}
	event.Outcome, event.Chunk, event.Detail = router.modelServer.Decode(decision, func() bool { return router.mayAct(decision) }, func(chunk int, text string) {
		router.Apply(auction.Event{Kind: auction.ChunkReceived, ID: decision.ID, Run: decision.Run, Chunk: chunk, Text: text})
	})
	router.Apply(event)
}

func (router *Router) notePair(decision auction.Decision) {
	if router.core.Restricted() {
		return
	}
	record, err := codec.WritePair(*decision.Pair, router.options.Router, router.core.Enabled())
	if err == nil {
		router.journal.append(record, true)
		router.crumbs.Broadcast()
	}
}

func (router *Router) noteRetry(decision auction.Decision) {
	if router.core.Restricted() {
		return
	}
	record, err := codec.WriteEntry(codec.RetryRecord, codec.Entry{Request: decision.ID, Router: router.options.Router, Run: decision.Run, At: router.runtime.Wall()})
	if err == nil {
		router.journal.append(record, true)
		router.crumbs.Broadcast()
	}
}

func (router *Router) giveOrders(decision auction.Decision) {
	if !router.mayAct(decision) || router.core.Restricted() {
		return
	}
	var answer LedAnswer
	err := router.followed.Ask(OrdersPath, OrdersQuestion{Role: decision.Role, Orders: decision.Orders, Supported: router.options.Supported}, &answer, actPatience, decision.NotAfter)
	router.observe("orders_given", "orders", decision.Orders, "trouble", err)
}

func (router *Router) command(decision auction.Decision) {
	if router.core.Restricted() {
		return
	}
	err := router.modelServer.Command(decision, func() bool { return router.mayAct(decision) })
	router.observe("commanded", "server", decision.Server, "part", decision.Part, "fence", decision.Role.FencingToken, "trouble", err)
}

// claim asks the primary for an inquiry's id until it is answered, its limit
// comes, or its origin has had the final word. Asking again is safe: the nonce
// tells this arrival's own claim.
func (router *Router) claim(decision auction.Decision) {
	made, err := MadeAt(decision.ID)
	event := auction.Event{Kind: auction.ClaimAnswered, ID: decision.ID, Outcome: auction.NotStarted}
	if err != nil {
		router.Apply(event)
		return
	}
	question := ClaimQuestion{Made: made, Entry: codec.Entry{Request: decision.ID, Router: router.options.Router, Run: 1,
		At: router.runtime.Wall(), Cause: router.nonce()}}
	// Without a hold there would be no dispatch: then the caller is told at once
	// that the inquiry never ran, and when to come back.
	ends := router.runtime.Now().Add(claimTime)
	for router.runtime.Alive() && router.mayAct(decision) && router.runtime.Now().Before(ends) && router.runtime.Now().Before(router.core.ServesUntil()) {
		var answer LedAnswer
		err := router.followed.Ask(ClaimPath, question, &answer, time.Second, ends)
		switch kind := failure.KindOf(err); {
		case err == nil && answer.Leads:
			event.Outcome = auction.Done
		case kind == failure.Duplicate:
			event.Outcome, event.Detail = auction.Duplicate, err.Error()
		case kind == failure.TooOld || kind == failure.TooNew:
			event.Outcome, event.Detail = auction.TooOld, err.Error()
		default:
			runtime.Sleep(router.runtime, claimPause)
			continue
		}
		break
	}
	router.Apply(event)
}
