package hatch

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"seamloom.example/seamloom"
	"seamloom.example/seamloom/internal/adapters/threads"
	"seamloom.example/seamloom/internal/adapters/wallclock"
	"seamloom.example/seamloom/internal/pass"
	"seamloom.example/seamloom/internal/recipe"
	"seamloom.example/seamloom/internal/rota"
	"seamloom.example/seamloom/internal/trouble"
)

// hookless are turns that only tell the time.
type hookless struct{ rota.Turns }

func (hookless) Now() time.Time  { return time.Unix(2_000_000, 0) }
func (hookless) Wall() time.Time { return time.Unix(2_000_000, 0) }

// lines collects a reply.
type lines struct{ said []ReplyLine }

func (lines *lines) Begin(int, int) {}
func (lines *lines) Line(content []byte) error {
	var line ReplyLine
	failure := json.Unmarshal(content, &line)
	lines.said = append(lines.said, line)
	return failure
}
func (lines *lines) WhenLeft(func()) {}

// newTestCourier is a courier that knows its configuration's absence only: it
// refuses everything, at once.
func newTestCourier(test *testing.T, nonce string) *Courier {
	lifetime, end := context.WithCancel(context.Background())
	test.Cleanup(end)
	options := CourierOptions{Options: seamloom.Options{Courier: "courier-1", Supported: seamloom.Supported(nil)}, Nonce: func() string { return nonce },
		Ended: func(*pass.Inquiry, pass.Decision) {}}
	courier := NewCourier(threads.New(lifetime, wallclock.New()), nil, nil, nil, options, func(string, ...any) {})
	courier.Apply(pass.Event{Kind: pass.FlagsRead, Enabled: recipe.List{}})
	return courier
}

// TestPassingOnIsTakenOnce brings one passing-on twice, and one to another life
// of the courier than it was meant for. Only the first may be decided on; of the
// others nobody knows here what became.
func TestPassingOnIsTakenOnce(test *testing.T) {
	courier := newTestCourier(test, "this life")
	serve := func(passage Passage) ReplyLine {
		reply := &lines{}
		courier.Serve(Arrival{Inquiry: &pass.Inquiry{ID: "one", Service: "chat"}, Passage: &passage}, reply)
		return reply.said[0]
	}
	if first := serve(Passage{Nonce: "first", Incarnation: "this life"}); first.Type != trouble.NoHold || first.Final != pass.Refused {
		test.Errorf("the first was not decided on: %+v", first)
	}
	for name, passage := range map[string]Passage{"again": {Nonce: "first", Incarnation: "this life"}, "another life": {Nonce: "second", Incarnation: "an earlier life"}} {
		if line := serve(passage); line.Final != pass.Unknown || line.Type != trouble.Duplicate {
			test.Errorf("%s: %+v", name, line)
		}
	}
	if line := serve(Passage{}); line.Type != trouble.NoHold {
		test.Errorf("an older release's passing-on was not taken: %+v", line)
	}
}

// TestTakenIDIsNotSaidToHaveNeverRun wants no word on whether an id ran that
// another arrival took, and the word where it is certain.
func TestTakenIDIsNotSaidToHaveNeverRun(test *testing.T) {
	if line := lineOf(pass.Decision{Kind: pass.Finish, Final: pass.Refused, Cause: trouble.Duplicate}); line.Ran != nil {
		test.Errorf("an id that is taken is said to have run or not: %+v", line)
	}
	if line := lineOf(pass.Decision{Kind: pass.Finish, Final: pass.Refused, Cause: trouble.Busy}); line.Ran == nil || *line.Ran {
		test.Errorf("a refused inquiry is not said to never run: %+v", line)
	}
}
