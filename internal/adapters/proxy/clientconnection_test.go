package proxy

import (
	"net/http"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/config"
)

// connectionModel is one client connection on which a request arrives, with the frontend's two
// goroutines that compete for it: one serves the connection, and one closes connections that
// timed out.
type connectionModel struct {
	connection clientConnState
	// servingStep and closingStep are the numbers of the next step of each goroutine.
	servingStep, closingStep int
	// timedOut is the result of the closing goroutine's first step: the connection is to be closed.
	timedOut bool
	// forwarded is set while a forwarded request waits for its response. It stays set if the
	// connection was closed before the response.
	forwarded bool
	closed    bool
	refused   bool
}

// timeoutDecision reports whether the connection timed out and is to be closed.
type timeoutDecision func(model *connectionModel, now time.Time, limits config.Limits) bool

// markingDecision is the correct decision: it marks the connection as closing.
func markingDecision(model *connectionModel, now time.Time, limits config.Limits) bool {
	_, timedOut := model.connection.markTimedOut(now, limits)
	return timedOut
}

// nonMarkingDecision is a known faulty variant: it checks the timeout without marking the
// connection, which is closed later.
func nonMarkingDecision(model *connectionModel, now time.Time, limits config.Limits) bool {
	return !model.connection.admitted && now.Sub(model.connection.since) > model.connection.timeout(limits)
}

const (
	servingSteps = 4
	closingSteps = 2
)

// stepServing is one step of the serving goroutine: the head is read; the body is read and the
// request is admitted or refused; the request is forwarded; the response is complete and the
// connection becomes idle.
func (m *connectionModel) stepServing(now time.Time) {
	switch m.servingStep {
	case 0:
		m.connection.setHTTPState(http.StateActive, now)
	case 1:
		m.refused = !m.connection.admit()
	case 2:
		m.forwarded = !m.refused
	case 3:
		// The response is lost if the connection was closed.
		if !m.closed {
			m.forwarded = false
		}
		m.connection.setHTTPState(http.StateIdle, now)
	}
	m.servingStep++
}

// stepClosing is one step of the closing goroutine: it decides, then closes the connection.
func (m *connectionModel) stepClosing(now time.Time, limits config.Limits, decide timeoutDecision) {
	switch m.closingStep {
	case 0:
		m.timedOut = decide(m, now, limits)
	case 1:
		m.closed = m.closed || m.timedOut
	}
	m.closingStep++
}

// exploreConnection runs all interleavings of the remaining steps of the two goroutines from the model's state. It returns
// the number of interleavings, and the number of those in which the connection of a forwarded request
// was closed before the response.
func exploreConnection(model *connectionModel, decide timeoutDecision) (interleavings, violations int) {
	limits := config.Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	now := time.Unix(100, 0)
	if model.servingStep == servingSteps && model.closingStep == closingSteps {
		if model.forwarded && model.closed {
			return 1, 1
		}
		return 1, 0
	}
	branch := func(step func(next *connectionModel)) {
		next := &connectionModel{servingStep: model.servingStep, closingStep: model.closingStep, timedOut: model.timedOut,
			forwarded: model.forwarded, closed: model.closed, refused: model.refused}
		next.connection.httpState, next.connection.since = model.connection.httpState, model.connection.since
		next.connection.admitted, next.connection.closing, next.connection.begun =
			model.connection.admitted, model.connection.closing, model.connection.begun
		step(next)
		branchInterleavings, branchViolations := exploreConnection(next, decide)
		interleavings, violations = interleavings+branchInterleavings, violations+branchViolations
	}
	if model.servingStep < servingSteps {
		branch(func(next *connectionModel) { next.stepServing(now) })
	}
	if model.closingStep < closingSteps {
		branch(func(next *connectionModel) { next.stepClosing(now, limits, decide) })
	}
	return interleavings, violations
}

// TestNoInterleavingClosesTheConnectionOfAForwardedRequest explores every order of the steps of the
// serving and the closing goroutine, from a connection that has been idle for too long.
func TestNoInterleavingClosesTheConnectionOfAForwardedRequest(t *testing.T) {
	idleModel := func() *connectionModel {
		model := &connectionModel{}
		model.connection.setHTTPState(http.StateIdle, time.Unix(0, 0))
		return model
	}
	interleavings, violations := exploreConnection(idleModel(), markingDecision)
	t.Logf("%d interleavings", interleavings)
	if interleavings != 15 || violations != 0 {
		t.Errorf("a request was forwarded and its connection closed in %d of %d interleavings, want 0 of 15", violations, interleavings)
	}
	if _, violations := exploreConnection(idleModel(), nonMarkingDecision); violations == 0 {
		t.Error("found no violation with the variant that does not mark the connection as closing")
	}
}
