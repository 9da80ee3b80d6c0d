package hatch

import (
	"testing"
	"time"

	"seamloom.example/seamloom/internal/larder"
)

func TestSignpostFindsThePrimaryAndLeavesNoTrace(test *testing.T) {
	formed, primary := newCore(test, plain)
	signpost := NewSignpost(primary.turns, formed, []string{"m2", "gone", "m1"})
	if found := signpost.Leader(); found != primary.options.Address {
		test.Fatalf("found %q, not %q", found, primary.options.Address)
	}
	for _, node := range formed.nodes {
		if node.Steward().Sees("") {
			test.Errorf("%s knows the signpost", node.options.Address)
		}
	}
	// The primary goes; it is asked first, then the others.
	address := primary.options.Address
	formed.mutex.Lock()
	delete(formed.nodes, address)
	formed.mutex.Unlock()
	waited := primary.turns.NewBell()
	found := ""
	for range 200 {
		waited.Wait(20*time.Millisecond, func() bool { return false })
		if found = signpost.Leader(); found != "" && found != address {
			return
		}
	}
	test.Fatalf("found %q after the primary went", found)
}

func TestSignpostThatReachesNobody(test *testing.T) {
	formed, primary := newCore(test, plain)
	if found := NewSignpost(primary.turns, formed, []string{"gone"}).Leader(); found != "" {
		test.Errorf("found %q", found)
	}
	if greeted := primary.Steward().Greet(larder.Hello{}); greeted.Seat.Empty() {
		test.Error("a hello from nobody has no answer")
	}
}
