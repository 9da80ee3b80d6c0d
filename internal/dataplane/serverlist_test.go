package dataplane

import (
	"fmt"
	"testing"
	"time"

	"seamloom.example/seamloom"
)

// TestOwnReadsOfALargeFleetLeaveRoomForThePrimarys guards against all routers reading the platform's list
// when the primary's is late by a moment: 300 reads of 6 pages within a second, where the platform answers
// 50 calls a second to all nodes, so that the primary's own reads failed and lists grew older still.
func TestOwnReadsOfALargeFleetLeaveRoomForThePrimarys(t *testing.T) {
	const (
		routers, servers = 300, 256
		pageEntries      = 50
		callsPerSecond   = 50
	)
	pages := (servers + pageEntries - 1) / pageEntries
	spread := ownListSpread(routers, servers)
	reads := map[time.Duration]int{}
	for number := range routers {
		router := &Router{}
		router.options.Options = seamloom.Options{Router: fmt.Sprint("router-", number)}
		reads[router.ownReadDelay(spread)/(5*time.Second)]++
	}
	for window, count := range reads {
		if calls := count * pages; calls > 5*callsPerSecond*5/4 {
			t.Errorf("%d calls in the five seconds from %v on, %d allowed", calls, 5*time.Second*window, 5*callsPerSecond)
		}
	}
	if early := reads[0]; early == 0 {
		t.Error("nobody reads while the list grows old")
	}
}

// TestOwnReadsOfASmallFleetAreNotLate has few routers read as soon as before.
func TestOwnReadsOfASmallFleetAreNotLate(t *testing.T) {
	if spread := ownListSpread(10, 12); spread > 200*time.Millisecond {
		t.Errorf("ten routers spread their reads over %v", spread)
	}
}
