package dataplane

import (
	"strconv"
	"time"

	"seamloom.example/seamloom/internal/auction"
	"seamloom.example/seamloom/internal/codec"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/runtime"
	"seamloom.example/seamloom/internal/wire"
)

// carryOut carries out one decision. Actions that wait for other processes run in threads of
// their own; the outcomes of claims, prefills and decodes are applied as events.
func (r *Router) carryOut(decision auction.Decision) {
	switch decision.Kind {
	case auction.SendChunk, auction.Finish, auction.ForwardToPeer:
		r.mutex.Lock()
		s := r.streams[decision.ID]
		r.mutex.Unlock()
		if s != nil {
			s.put(decision)
		}
		if decision.Kind == auction.Finish {
			for run := 1; run <= decision.Run; run++ {
				r.modelServer.EndRun(decision.ID, run)
				r.deleteToken(decision.ID, run)
			}
		}
	case auction.ClaimRequest:
		r.runtime.Go(func() { r.claim(decision) })
	case auction.DispatchPrefill:
		decision.Token = r.newToken(decision)
		r.runtime.Go(func() { r.prefill(decision) })
	case auction.DispatchDecode:
		decision.Token = r.newToken(decision)
		r.runtime.Go(func() { r.decode(decision) })
	case auction.Cancel:
		decision.Token = r.tokenOf(decision)
		r.modelServer.Cancel(decision)
	case auction.RecordPair:
		r.recordPair(decision)
	case auction.RecordRetry:
		r.recordRetry(decision)
	case auction.SubmitOrders:
		r.runtime.Go(func() { r.submitOrders(decision) })
	case auction.CommandServer:
		r.runtime.Go(func() { r.command(decision) })
	}
}

func runKey(id string, run int) string { return id + "#" + strconv.Itoa(run) }

// newToken returns a new token for the dispatch of a run (see auction.Decision) and records it as
// the token of the run's newest dispatch.
func (r *Router) newToken(decision auction.Decision) string {
	token := r.nonce()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.tokens[runKey(decision.ID, decision.Run)] = token
	return token
}

// tokenOf returns the token of the newest dispatch of the decision's run, or "" if there is none.
func (r *Router) tokenOf(decision auction.Decision) string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.tokens[runKey(decision.ID, decision.Run)]
}

func (r *Router) deleteToken(id string, run int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.tokens, runKey(id, run))
}

// mayAct reports whether a decision may still be carried out. It is checked after every wait,
// just before the first byte is sent.
func (r *Router) mayAct(decision auction.Decision) bool {
	return r.runtime.Now().Before(decision.NotAfter)
}

func (r *Router) prefill(decision auction.Decision) {
	event := auction.Event{Kind: auction.PrefillAnswered, ID: decision.ID, Run: decision.Run}
	event.Outcome, event.Handle, event.Detail = r.modelServer.Prefill(decision, func() bool { return r.mayAct(decision) })
	r.Apply(event)
}

func (r *Router) decode(decision auction.Decision) {
	event := auction.Event{Kind: auction.DecodeEnded, ID: decision.ID, Run: decision.Run}
	event.Outcome, event.Chunk, event.Detail = r.modelServer.Decode(
		decision,
		func() bool { return r.mayAct(decision) },
		func(chunk int, text string) {
			r.Apply(auction.Event{Kind: auction.ChunkReceived, ID: decision.ID, Run: decision.Run, Chunk: chunk, Text: text})
		},
	)
	r.Apply(event)
}

func (r *Router) recordPair(decision auction.Decision) {
	if r.core.Restricted() {
		return
	}
	record, err := codec.EncodePair(*decision.Pair, r.options.Router, r.core.Enabled())
	if err == nil {
		r.journal.append(record, true)
		r.recordsAdded.Broadcast()
	}
}

func (r *Router) recordRetry(decision auction.Decision) {
	if r.core.Restricted() {
		return
	}
	record, err := codec.EncodeEntry(codec.RetryRecord, codec.Entry{
		Request: decision.ID,
		Router:  r.options.Router,
		Attempt: decision.Run,
		At:      r.runtime.Wall(),
	})
	if err == nil {
		r.journal.append(record, true)
		r.recordsAdded.Broadcast()
	}
}

func (r *Router) submitOrders(decision auction.Decision) {
	if !r.mayAct(decision) || r.core.Restricted() {
		return
	}
	var response wire.LeaderResponse
	err := r.follower.AskPrimary(
		wire.OrdersPath,
		wire.OrdersRequest{Role: decision.Role, Orders: decision.Orders, Supported: r.options.Supported},
		&response,
		sendTimeout,
		decision.NotAfter,
	)
	r.observe("orders_given", "orders", decision.Orders, "error", err)
}

func (r *Router) command(decision auction.Decision) {
	if r.core.Restricted() {
		return
	}
	err := r.modelServer.Command(decision, func() bool { return r.mayAct(decision) })
	r.observe("commanded", "server", decision.Server, "part", decision.ServerRole, "fencing_token", decision.Role.FencingToken, "error", err)
}

// claim claims a request's ID at the primary. It retries until the primary responds, the decision's
// NotAfter or claimTimeout has passed, or the router may no longer serve. Retries are safe, because
// they all contain the same nonce in the field Cause of the entry, and the primary recognizes a
// repeated claim by this nonce.
func (r *Router) claim(decision auction.Decision) {
	createdAt, err := RequestIDTime(decision.ID)
	event := auction.Event{Kind: auction.ClaimAnswered, ID: decision.ID, Outcome: auction.OutcomeNotStarted}
	if err != nil {
		r.Apply(event)
		return
	}
	request := wire.ClaimRequest{Made: createdAt, Entry: codec.Entry{Request: decision.ID, Router: r.options.Router, Attempt: 1,
		At: r.runtime.Wall(), Cause: r.nonce()}}
	// A router that may no longer serve would not dispatch the request. It therefore stops the
	// claim, so that the client learns at once that the request has not run, and when to retry.
	deadline := r.runtime.Now().Add(claimTimeout)
	for r.runtime.Alive() && r.mayAct(decision) && r.runtime.Now().Before(deadline) && r.runtime.Now().Before(r.core.ServesUntil()) {
		var response wire.LeaderResponse
		err := r.follower.AskPrimary(wire.ClaimPath, request, &response, time.Second, deadline)
		switch code := failure.CodeOf(err); {
		case err == nil && response.Leads:
			event.Outcome = auction.OutcomeDone
		case code == failure.Duplicate:
			event.Outcome, event.Detail = auction.OutcomeDuplicate, err.Error()
		case code == failure.TooOld || code == failure.TooNew:
			event.Outcome, event.Detail = auction.OutcomeTooOld, err.Error()
		default:
			runtime.Sleep(r.runtime, claimRetryAfter)
			continue
		}
		break
	}
	r.Apply(event)
}
