package membership

import (
	"testing"
	"time"
)

var listNoon = time.Unix(1000, 0)

func after(length time.Duration) time.Time { return listNoon.Add(length) }

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

// TestLeavingIsNotForgotten brings a late read, and one from another reader, after
// a server's leaving was seen.
func TestLeavingIsNotForgotten(t *testing.T) {
	var list ServerList
	list.Update(after(0), []Server{{Name: "a"}, {Name: "b"}})
	if !list.Update(after(time.Second), []Server{{Name: "a", Leaving: true}, {Name: "b"}}) {
		t.Error("a leaving server is no change")
	}
	list.Update(after(500*time.Millisecond), []Server{{Name: "a"}, {Name: "b"}})
	if list.Update(after(2*time.Second), []Server{{Name: "a"}, {Name: "b"}}) {
		t.Error("an older word counted as a change")
	}
	if got := names(list.Servers(after(2 * time.Second))); got != "a! b " {
		t.Errorf("the list is %s", got)
	}
}

// TestVanishedServerComesBackOnlyWithALaterRead wants a server that has vanished to
// stay away while reads that lag may still name it, and no longer.
func TestVanishedServerComesBackOnlyWithALaterRead(t *testing.T) {
	var list ServerList
	list.Update(after(0), []Server{{Name: "a"}, {Name: "b"}})
	if !list.Update(after(time.Second), []Server{{Name: "b"}}) {
		t.Error("a vanished server is no change")
	}
	if list.Update(after(1500*time.Millisecond), []Server{{Name: "a"}, {Name: "b"}}) || len(list.Servers(after(0))) != 1 {
		t.Error("a read that lags brought a vanished server back")
	}
	if !list.Update(after(3*time.Second), []Server{{Name: "a"}, {Name: "b"}}) {
		t.Error("a server that one read lacked is lost for good")
	}
}

// TestWarmingRunsOut wants a cold server's time to go on between reads, and its
// turning cold again to be a change.
func TestWarmingRunsOut(t *testing.T) {
	var list ServerList
	list.Update(after(0), []Server{{Name: "a", Warming: 3 * time.Second}})
	if left := list.Servers(after(time.Second))[0].Warming; left != 2*time.Second {
		t.Errorf("left to warm: %s", left)
	}
	if list.Update(after(time.Second), []Server{{Name: "a", Warming: 1950 * time.Millisecond}}) {
		t.Error("the same end told again is a change")
	}
	if list.Update(after(5*time.Second), []Server{{Name: "a"}}) {
		t.Error("a server that has become warm is a change")
	}
	if !list.Update(after(6*time.Second), []Server{{Name: "a", Warming: 3 * time.Second}}) {
		t.Error("a server that turned cold again is no change")
	}
}

// TestConfirmationMakesTheListYounger and changes nothing else.
func TestConfirmationMakesTheListYounger(t *testing.T) {
	var list ServerList
	list.Confirm(after(time.Second))
	if !list.At().IsZero() {
		t.Error("a list that was never read was confirmed")
	}
	list.Update(after(0), []Server{{Name: "a"}})
	list.Confirm(after(time.Second))
	list.Confirm(after(500 * time.Millisecond))
	if !list.At().Equal(after(time.Second)) || len(list.Servers(after(0))) != 1 {
		t.Errorf("read at %s", list.At())
	}
}

// TestEmptyListIsAList: a list that was read and is empty is one, and the first.
func TestEmptyListIsAList(t *testing.T) {
	var list ServerList
	if !list.Update(after(0), nil) || list.At().IsZero() {
		t.Error("the first list is no change")
	}
}
