package controlplane

import (
	"fmt"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/runtime"
	"seamloom.example/seamloom/internal/wire"
)

// TestReplacedServersKeepTheCommitLoopFree replaces one of 256 servers every 75 ms: their roles are granted
// in one batch a second, so that an edit seldom finds one before it.
func TestReplacedServersKeepTheCommitLoopFree(t *testing.T) {
	_, primary := newCore(t, plain)
	router := wire.UpdateRequest{Member: membership.Member{Name: "router-1", Kind: membership.Router, Address: "r1", Supported: primary.Supported()}, Have: map[string]replication.Version{}}
	poll := func() {
		if _, err := primary.serveUpdate(router); err != nil {
			t.Error(err)
		}
	}
	const servers, replacements, interval = 256, 40, 75 * time.Millisecond
	var listed []membership.Server
	for number := range servers {
		listed = append(listed, membership.Server{Name: fmt.Sprint("server-", number)})
	}
	granted := func() int {
		_, view, _ := primary.Leading()
		state, err := view.State()
		if err != nil {
			t.Fatal(err)
		}
		return len(state.Roles.Roles)
	}
	list := func() { primary.serverList.update(primary.runtime.Now(), listed) }
	poll()
	list()
	committed := primary.runtime.NewCond()
	for range 200 {
		if granted() > servers {
			break
		}
		committed.Wait(20*time.Millisecond, func() bool { return granted() > servers })
	}
	before, _ := primary.Store().CommitCounts()
	began := primary.runtime.Now()
	for number := range replacements {
		listed = append(append([]membership.Server{}, listed[1:]...), membership.Server{Name: fmt.Sprint("replacement-", number)})
		list()
		poll()
		runtime.Sleep(primary.runtime, interval)
	}
	after, _ := primary.Store().CommitCounts()
	// One batch may move the claims' horizon, and one grant may fall on either end.
	if most := uint64(primary.runtime.Now().Sub(began)/roleGrantInterval) + 2; after-before > most {
		t.Errorf("%d batches, %d at most", after-before, most)
	}
	if granted() < servers+replacements/2 {
		t.Errorf("%d roles are granted", granted())
	}
}
