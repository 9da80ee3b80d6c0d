package controlplane

import (
	"context"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/adapters/osruntime"
	"seamloom.example/seamloom/internal/features"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/wire"
)

// join starts a controller with blank disks that may only join a core, not form one. It returns when the
// controller knows a core or when the wait has passed.
func (c *core) join(t *testing.T, options Options, wait time.Duration) *Controller {
	t.Helper()
	lifetime, end := context.WithCancel(context.Background())
	t.Cleanup(end)
	rt := osruntime.New(lifetime, osruntime.NewClock())
	options.JoinsOnly, options.Supported = true, features.Supported(nil)
	options.Name, options.NewIdentity = options.Address, replication.Identity("disk-"+options.Address)
	node, _, err := Open(rt, c, &memoryStorage{files: map[string][]byte{}}, &memoryStorage{files: map[string][]byte{}}, options,
		func(string, ...any) {})
	if err != nil {
		t.Fatal(err)
	}
	c.mutex.Lock()
	c.nodes[options.Address] = node
	c.mutex.Unlock()
	for _, loop := range node.Loops() {
		rt.Go(loop)
	}
	coreKnown := rt.NewCond()
	for ends := rt.Now().Add(wait); rt.Now().Before(ends); {
		if coreKnown.Wait(20*time.Millisecond, func() bool { reason, _ := node.WaitingFor(); return reason == replication.CoreKnown }) {
			break
		}
	}
	return node
}

// TestABlankMachineFindsTheCoreThroughItsNeighbour starts a blank controller whose seeds no longer
// exist. It must find the core through its only neighbour, a router that follows the core.
func TestABlankMachineFindsTheCoreThroughItsNeighbour(t *testing.T) {
	formed, primary := newCore(t, unwrapped)
	formed.mutex.Lock()
	formed.otherProcesses = map[string]wire.Handlers{"router": {
		wire.HelloPath: wire.HandlerFor(func(replication.Hello) (replication.Hello, error) {
			return replication.Hello{Kind: membership.Router, Membership: primary.Coordinator().Membership()}, nil
		}),
		wire.UpdatesPath: wire.HandlerFor(func(wire.UpdateRequest) (wire.UpdateResponse, error) {
			return wire.UpdateResponse{Membership: primary.Coordinator().Membership()}, nil
		}),
	}}
	formed.mutex.Unlock()
	gone := []string{"gone-1", "gone-2", "gone-3"}
	joined := formed.join(t, Options{Address: "m9", Seeds: gone, Neighbours: []string{"router"}}, 10*time.Second)
	if reason, silent := joined.WaitingFor(); reason != replication.CoreKnown {
		t.Errorf("the controller waits because of %s with silent seeds %v, want a known core", reason, silent)
	}
	if joined.Coordinator().Membership().Primary != primary.Coordinator().Membership().Primary {
		t.Errorf("got membership %+v, want that of the core", joined.Coordinator().Membership())
	}
}

// TestBlankControllerReportsWhyItWaits starts blank controllers that reach no process that knows the core.
// They must not form a core and must report why they wait. The first one must find the core once its settings
// name the seeds of the core.
func TestBlankControllerReportsWhyItWaits(t *testing.T) {
	formed, primary := newCore(t, unwrapped)
	const wait = 700 * time.Millisecond
	first := formed.join(t, Options{Address: "b1", Seeds: []string{"b1", "b2", "b3"}}, wait)
	if reason, silent := first.WaitingFor(); reason != replication.SeedsSilent || len(silent) != 2 {
		t.Errorf("a controller whose other seeds do not respond: got reason %q, silent seeds %v, want two silent seeds", reason, silent)
	}
	second := formed.join(t, Options{Address: "b2", Seeds: []string{"b1", "b2", "b3"}}, wait)
	third := formed.join(t, Options{Address: "b3", Seeds: []string{"b1", "b2", "b3"}}, wait)
	for _, node := range []*Controller{first, second, third} {
		if reason, silent := node.WaitingFor(); reason != replication.SeedsBlank || len(silent) != 0 {
			t.Errorf("%s, whose seeds are all blank: got reason %q, silent seeds %v, want SeedsBlank and no silent seeds",
				node.options.Name, reason, silent)
		}
	}
	first.SetSeeds([]string{"m0", "m1", "m2"})
	changed := first.runtime.NewCond()
	for ends := first.runtime.Now().Add(10 * time.Second); first.runtime.Now().Before(ends); {
		if changed.Wait(20*time.Millisecond, func() bool { reason, _ := first.WaitingFor(); return reason == replication.CoreKnown }) {
			break
		}
	}
	if first.Coordinator().Membership().Primary != primary.Coordinator().Membership().Primary {
		t.Errorf("after the seeds were replaced: got membership %+v, want that of the core", first.Coordinator().Membership())
	}
}

// TestWaitForACoreIsLoggedAtAnInterval expects a log entry about the wait for a core after waitNoticeTime, when
// the reason changes, and every waitNoticeInterval, but not while a core is known or right after it was known.
func TestWaitForACoreIsLoggedAtAnInterval(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	notices := &joinNotices{}
	for _, step := range []struct {
		after time.Duration
		wait  replication.CoreWait
		due   bool
	}{
		{0, replication.SeedsSilent, false},
		{waitNoticeTime, replication.SeedsSilent, true},
		{waitNoticeTime + time.Second, replication.SeedsSilent, false},
		{waitNoticeTime + 2*time.Second, replication.SeedsBlank, true},
		{waitNoticeTime + 2*time.Second + waitNoticeInterval, replication.SeedsBlank, true},
		{waitNoticeTime + 3*time.Second + waitNoticeInterval, replication.CoreKnown, false},
		{waitNoticeTime + 4*time.Second + waitNoticeInterval, replication.SeedsBlank, false},
	} {
		if due := notices.due(step.wait, start.Add(step.after)); due != step.due {
			t.Errorf("after %v, waiting for %q: got due %t, want %t", step.after, step.wait, due, step.due)
		}
	}
}
