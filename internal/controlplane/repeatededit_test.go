package controlplane

import (
	"testing"
	"time"

	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/wire"
)

// TestARepeatedEditDoesNotWaitAnew has a router that polls and never confirms: once the wait for it has
// passed, the same edit sent again is acknowledged at once.
func TestARepeatedEditDoesNotWaitAnew(t *testing.T) {
	_, primary := newCore(t, plain)
	wait := 400 * time.Millisecond
	primary.SetAcknowledgeWait(wait)
	lagging := wire.UpdateRequest{Member: membership.Member{Name: "router-1", Kind: membership.Router, Address: "r1"}, Have: map[string]replication.Version{}}
	poll := func() {
		if _, err := primary.serveUpdate(lagging); err != nil {
			t.Error(err)
		}
	}
	poll()
	edit := revision(0, 3, "a")
	began := primary.runtime.Now()
	if _, err := primary.Edit(edit); err != nil {
		t.Fatal(err)
	}
	if took := primary.runtime.Now().Sub(began); took < wait {
		t.Errorf("acknowledged after %v, before the router had %v to confirm", took, wait)
	}
	poll()
	began = primary.runtime.Now()
	if _, err := primary.Edit(edit); err != nil {
		t.Fatal(err)
	}
	if took := primary.runtime.Now().Sub(began); took >= wait {
		t.Errorf("sent again, it was acknowledged only after %v", took)
	}
}

// TestACommittedEditIsAnsweredWhileABatchStalls stalls the disk in the middle of another change: an edit
// that was committed before is acknowledged all the same when it is sent again.
func TestACommittedEditIsAnsweredWhileABatchStalls(t *testing.T) {
	formed, primary := newCore(t, plain)
	edit := revision(0, 3, "a")
	if _, err := primary.Edit(edit); err != nil {
		t.Fatal(err)
	}
	formed.storages[primary.options.Address].failing.Store(true)
	primary.queue(replication.RegisterMember(membership.Member{Name: "router-2", Kind: membership.Router, Address: "r2"}), func(replication.Version, error) {})
	began := primary.runtime.Now()
	if _, err := primary.Edit(edit); err != nil {
		t.Fatalf("after %v: %v", primary.runtime.Now().Sub(began), err)
	}
}
