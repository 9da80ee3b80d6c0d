package dataplane

import (
	"fmt"
	"testing"
	"time"

	"seamloom.example/seamloom"
)

// TestDirectReadsOfALargeFleetLeaveCapacityForThePrimary guards against an overload of the
// platform. In an earlier version, when the primary's list was slightly late, all 300 routers read
// the list of 6 pages within a second. The platform answers only 50 calls per second to all nodes
// together, so the primary's own reads failed too and the routers' lists became even older.
func TestDirectReadsOfALargeFleetLeaveCapacityForThePrimary(t *testing.T) {
	const (
		routers, servers = 300, 256
		pageEntries      = 50
		callsPerSecond   = 50
	)
	pages := (servers + pageEntries - 1) / pageEntries
	spread := directReadSpread(routers, servers)
	reads := map[time.Duration]int{}
	for number := range routers {
		router := &Router{}
		router.options.Options = seamloom.Options{Router: fmt.Sprint("router-", number)}
		reads[router.directReadDelay(spread)/(5*time.Second)]++
	}
	for window, count := range reads {
		if calls := count * pages; calls > 5*callsPerSecond*5/4 {
			t.Errorf("got %d calls in the five seconds from %v on, want at most %d", calls, 5*time.Second*window, 5*callsPerSecond*5/4)
		}
	}
	if early := reads[0]; early == 0 {
		t.Error("no router reads the list in the first five seconds")
	}
}

// TestDirectReadsOfASmallFleetAreNotDelayed checks that few routers spread their reads over a
// short period only.
func TestDirectReadsOfASmallFleetAreNotDelayed(t *testing.T) {
	if spread := directReadSpread(10, 12); spread > 200*time.Millisecond {
		t.Errorf("got a spread of %v for ten routers, want at most 200ms", spread)
	}
}
