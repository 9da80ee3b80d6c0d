package controlplane

import (
	"testing"
	"time"

	"seamloom.example/seamloom/internal/replication"
)

func TestRedirectorFindsThePrimaryAndLeavesNoTrace(t *testing.T) {
	formed, primary := newCore(t, plain)
	redirector := NewRedirector(primary.runtime, formed, []string{"m2", "gone", "m1"})
	if found := redirector.Leader(); found != primary.options.Address {
		t.Fatalf("found %q, not %q", found, primary.options.Address)
	}
	for _, node := range formed.nodes {
		if node.Coordinator().Sees("") {
			t.Errorf("%s knows the signpost", node.options.Address)
		}
	}
	// The primary goes; it is asked first, then the others.
	address := primary.options.Address
	formed.mutex.Lock()
	delete(formed.nodes, address)
	formed.mutex.Unlock()
	waited := primary.runtime.NewCond()
	found := ""
	for range 200 {
		waited.Wait(20*time.Millisecond, func() bool { return false })
		if found = redirector.Leader(); found != "" && found != address {
			return
		}
	}
	t.Fatalf("found %q after the primary went", found)
}

// TestRedirectorOutlivesItsSeeds knows the members of the core, so that it finds the primary
// when the addresses that it was told are gone.
func TestRedirectorOutlivesItsSeeds(t *testing.T) {
	formed, primary := newCore(t, plain)
	redirector := NewRedirector(primary.runtime, formed, []string{"m0", "m1", "m2"})
	redirector.Leader()
	redirector.SetSeeds([]string{"gone", "dark", "old"})
	redirector.mutex.Lock()
	redirector.leader = ""
	redirector.mutex.Unlock()
	if found := redirector.Leader(); found != primary.options.Address {
		t.Errorf("found %q, not %q", found, primary.options.Address)
	}
}

func TestRedirectorThatReachesNobody(t *testing.T) {
	formed, primary := newCore(t, plain)
	if found := NewRedirector(primary.runtime, formed, []string{"gone"}).Leader(); found != "" {
		t.Errorf("found %q", found)
	}
	if greeted := primary.Coordinator().HandleHello(replication.Hello{}); greeted.Replica.Empty() {
		t.Error("a hello from nobody has no answer")
	}
}
