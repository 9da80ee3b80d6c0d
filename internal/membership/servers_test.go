package membership

import (
	"testing"
	"time"
)

// firstRead is the time of the first read of a list.
var firstRead = time.Unix(1000, 0)

// after returns the time at which the given duration has passed since the first read.
func after(elapsed time.Duration) time.Time { return firstRead.Add(elapsed) }

// names lists the names of servers in one string, with a "!" after those that are leaving.
func names(servers []Server) string {
	text := ""
	for _, server := range servers {
		text += server.Name
		if server.Leaving {
			text += "!"
		}
		text += " "
	}
	return text
}

// TestLeavingServerStaysLeavingDespiteLaggingReads checks that a server which a read has shown as leaving stays leaving,
// though an older read, and a newer one that lags, don't show it.
func TestLeavingServerStaysLeavingDespiteLaggingReads(t *testing.T) {
	var list ServerList
	list.Update(after(0), []Server{{Name: "a"}, {Name: "b"}})
	if !list.Update(after(time.Second), []Server{{Name: "a", Leaving: true}, {Name: "b"}}) {
		t.Error("a server that begins to leave was not reported as a change")
	}
	list.Update(after(500*time.Millisecond), []Server{{Name: "a"}, {Name: "b"}})
	if list.Update(after(2*time.Second), []Server{{Name: "a"}, {Name: "b"}}) {
		t.Error("a lagging read without the leaving mark was reported as a change")
	}
	if got := names(list.Servers(after(2 * time.Second))); got != "a! b " {
		t.Errorf("list: got %q, want %q", got, "a! b ")
	}
}

// TestRemovedServerIsAddedOnlyByALaterRead checks that a removed server is not added again by a read within
// listLag after the removal, which may return an older state of the list, but is added by a later read.
func TestRemovedServerIsAddedOnlyByALaterRead(t *testing.T) {
	var list ServerList
	list.Update(after(0), []Server{{Name: "a"}, {Name: "b"}})
	if !list.Update(after(time.Second), []Server{{Name: "b"}}) {
		t.Error("the removal of a server was not reported as a change")
	}
	if list.Update(after(1500*time.Millisecond), []Server{{Name: "a"}, {Name: "b"}}) || len(list.Servers(after(0))) != 1 {
		t.Error("a lagging read added a removed server again")
	}
	if !list.Update(after(3*time.Second), []Server{{Name: "a"}, {Name: "b"}}) {
		t.Error("a later read did not add a removed server again")
	}
}

// TestWarmingTimeDecreases checks that the remaining time of a slow start decreases between reads,
// and that only the beginning of a slow start is a change.
func TestWarmingTimeDecreases(t *testing.T) {
	var list ServerList
	list.Update(after(0), []Server{{Name: "a", Warming: 3 * time.Second}})
	if left := list.Servers(after(time.Second))[0].Warming; left != 2*time.Second {
		t.Errorf("remaining slow start after 1 s: got %s, want 2s", left)
	}
	if list.Update(after(time.Second), []Server{{Name: "a", Warming: 1950 * time.Millisecond}}) {
		t.Error("nearly the same end of the slow start was reported as a change")
	}
	if list.Update(after(5*time.Second), []Server{{Name: "a"}}) {
		t.Error("the end of the slow start was reported as a change")
	}
	if !list.Update(after(6*time.Second), []Server{{Name: "a", Warming: 3 * time.Second}}) {
		t.Error("a new slow start was not reported as a change")
	}
}

// TestConfirmUpdatesTheTimeOnly checks that Confirm advances the time of a list, never sets it back, and
// doesn't change the servers, and that it does nothing to a list that was never read.
func TestConfirmUpdatesTheTimeOnly(t *testing.T) {
	var list ServerList
	list.Confirm(after(time.Second))
	if !list.At().IsZero() {
		t.Error("a list that was never read has a time after Confirm")
	}
	list.Update(after(0), []Server{{Name: "a"}})
	list.Confirm(after(time.Second))
	list.Confirm(after(500 * time.Millisecond))
	if !list.At().Equal(after(time.Second)) || len(list.Servers(after(0))) != 1 {
		t.Errorf("got time %s and %d servers, want time %s and 1 server", list.At(), list.Len(), after(time.Second))
	}
}

// TestFirstListIsAChangeThoughEmpty checks that the first read is a change even without servers.
func TestFirstListIsAChangeThoughEmpty(t *testing.T) {
	var list ServerList
	if !list.Update(after(0), nil) || list.At().IsZero() {
		t.Error("the first read, of an empty list, was not reported as a change")
	}
}
