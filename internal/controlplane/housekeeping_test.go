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

// TestReplacedServersCauseFewRoleBatches replaces one of 256 servers every 75 ms. The roles of the new
// servers must be granted in at most one batch per second, so that an edit rarely waits for such a batch.
func TestReplacedServersCauseFewRoleBatches(t *testing.T) {
	_, primary := newCore(t, unwrapped)
	router := wire.UpdateRequest{
		Member: membership.Member{Name: "router-1", Kind: membership.Router, Address: "r1", Supported: primary.Supported()},
		Have:   map[string]replication.Version{},
	}
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
	// One more batch may advance the claims' horizon, and one more grant may fall on an end of the measured time.
	if maximum := uint64(primary.runtime.Now().Sub(began)/roleGrantInterval) + 2; after-before > maximum {
		t.Errorf("batches: got %d, want at most %d", after-before, maximum)
	}
	if granted() < servers+replacements/2 {
		t.Errorf("got %d granted roles, want at least %d", granted(), servers+replacements/2)
	}
}
