package controlplane

import (
	"testing"
	"time"

	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/wire"
)

// TestARepeatedEditDoesNotWaitAgain uses a router that polls and never confirms. Once an edit has waited
// for this router, the same edit must be acknowledged without a wait when it is sent again.
func TestARepeatedEditDoesNotWaitAgain(t *testing.T) {
	_, primary := newCore(t, unwrapped)
	wait := 400 * time.Millisecond
	primary.SetAcknowledgeWait(wait)
	lagging := wire.UpdateRequest{
		Member: membership.Member{Name: "router-1", Kind: membership.Router, Address: "r1"},
		Have:   map[string]replication.Version{},
	}
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
		t.Errorf("the edit was acknowledged after %v, want at least %v for the router to confirm", took, wait)
	}
	poll()
	began = primary.runtime.Now()
	if _, err := primary.Edit(edit); err != nil {
		t.Fatal(err)
	}
	if took := primary.runtime.Now().Sub(began); took >= wait {
		t.Errorf("the repeated edit was acknowledged after %v, want no wait", took)
	}
}

// TestACommittedEditIsAnsweredWhileABatchStalls makes the primary's disk fail, so that another change can't
// be committed. An edit that was committed before must still be acknowledged when it is sent again.
func TestACommittedEditIsAnsweredWhileABatchStalls(t *testing.T) {
	formed, primary := newCore(t, unwrapped)
	edit := revision(0, 3, "a")
	if _, err := primary.Edit(edit); err != nil {
		t.Fatal(err)
	}
	formed.copyStorages[primary.options.Address].failing.Store(true)
	primary.queue(replication.RegisterMember(membership.Member{Name: "router-2", Kind: membership.Router, Address: "r2"}),
		func(replication.Version, error) {})
	began := primary.runtime.Now()
	if _, err := primary.Edit(edit); err != nil {
		t.Fatalf("the repeated edit failed after %v: %v", primary.runtime.Now().Sub(began), err)
	}
}
