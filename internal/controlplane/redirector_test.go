package controlplane

import (
	"testing"
	"time"

	"seamloom.example/seamloom/internal/replication"
)

// TestRedirectorFindsThePrimaryAndIsNotRecorded checks that the redirector finds the primary and
// later its successor, and that no controller records the redirector, since its hellos contain no
// sender.
func TestRedirectorFindsThePrimaryAndIsNotRecorded(t *testing.T) {
	formed, primary := newCore(t, unwrapped)
	redirector := NewRedirector(primary.runtime, formed, []string{"m2", "gone", "m1"})
	if found := redirector.Leader(); found != primary.options.Address {
		t.Fatalf("got primary %q, want %q", found, primary.options.Address)
	}
	for _, node := range formed.nodes {
		if node.Coordinator().HeardRecently("") {
			t.Errorf("%s has recorded the redirector", node.options.Address)
		}
	}
	// The primary disappears. The redirector may return the old address until redirectorTTL has
	// passed, and must then find the next primary.
	address := primary.options.Address
	formed.mutex.Lock()
	delete(formed.nodes, address)
	formed.mutex.Unlock()
	pause := primary.runtime.NewCond()
	found := ""
	for range 200 {
		pause.Wait(20*time.Millisecond, func() bool { return false })
		if found = redirector.Leader(); found != "" && found != address {
			return
		}
	}
	t.Fatalf("got primary %q after the old one disappeared, want another address", found)
}

// TestRedirectorFindsThePrimaryWithoutReachableSeeds sets seed addresses that do not respond. The
// redirector must find the primary through the controllers of the membership that it received before.
func TestRedirectorFindsThePrimaryWithoutReachableSeeds(t *testing.T) {
	formed, primary := newCore(t, unwrapped)
	redirector := NewRedirector(primary.runtime, formed, []string{"m0", "m1", "m2"})
	redirector.Leader()
	redirector.SetSeeds([]string{"gone", "dark", "old"})
	redirector.mutex.Lock()
	redirector.leader = ""
	redirector.mutex.Unlock()
	if found := redirector.Leader(); found != primary.options.Address {
		t.Errorf("got primary %q, want %q", found, primary.options.Address)
	}
}

func TestRedirectorWithoutAReachableController(t *testing.T) {
	formed, primary := newCore(t, unwrapped)
	if found := NewRedirector(primary.runtime, formed, []string{"gone"}).Leader(); found != "" {
		t.Errorf("got primary %q, want none", found)
	}
	// The hellos of a redirector contain no sender, and controllers must answer them.
	if response := primary.Coordinator().HandleHello(replication.Hello{}); response.Replica.Empty() {
		t.Error("a hello without a sender was not answered")
	}
}
