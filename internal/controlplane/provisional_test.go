package controlplane

import (
	"context"
	"slices"
	"testing"
	"time"

	"seamloom.example/seamloom"
	"seamloom.example/seamloom/internal/adapters/osruntime"
	"seamloom.example/seamloom/internal/auction"
	"seamloom.example/seamloom/internal/dataplane"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/features"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/runtime"
	"seamloom.example/seamloom/internal/wire"
)

// oneServer is a directory with one server and no list of nodes.
type oneServer struct{}

func (oneServer) Servers() ([]membership.Server, error) {
	return []membership.Server{{Name: "server-1", Address: "10.0.0.1:80", Service: "desk"}}, nil
}
func (oneServer) Nodes() ([]membership.Node, error) { return nil, failure.New(failure.NoSuch, "none") }

// restartCore opens the disks of a core again, in controllers whose loops do not run, as if all
// controllers had just started and none were primary. The disks at the addresses in blank are
// replaced by empty ones.
func restartCore(t *testing.T, rt runtime.Runtime, before *core, blank ...string) *core {
	t.Helper()
	after := &core{nodes: map[string]*Controller{}}
	for address, copyStorage := range before.copyStorages {
		witnessStorage := before.witnessStorage[address]
		if slices.Contains(blank, address) {
			copyStorage, witnessStorage = &memoryStorage{files: map[string][]byte{}}, &memoryStorage{files: map[string][]byte{}}
		}
		options := Options{Name: address, Address: address, Seeds: []string{"m0", "m1", "m2"}, Supported: features.Supported(nil),
			NewIdentity: replication.Identity("next disk-" + address), Directory: oneServer{}}
		node, _, err := Open(rt, after, witnessStorage, copyStorage, options, func(string, ...any) {})
		if err != nil {
			t.Fatal(err)
		}
		after.nodes[address] = node
	}
	return after
}

// newRouterAt starts a router that follows a core. Each log event of the router wakes the waiters of events.
func newRouterAt(rt runtime.Runtime, client wire.Client, serveWithoutLease time.Duration, events runtime.Cond) *dataplane.Router {
	router := dataplane.NewRouter(rt, client, nil, nil, dataplane.Options{
		Options:           seamloom.Options{Router: "courier-1", Supported: seamloom.Supported(nil)},
		Address:           "c1",
		Seeds:             []string{"m0", "m1", "m2"},
		ServeWithoutLease: serveWithoutLease,
		Nonce:             func() string { return "nonce" },
		Directory:         oneServer{},
		OnEnded:           func(*auction.Request, auction.Decision) {},
	}, func(string, ...any) { events.Broadcast() })
	rt.Go(router.Follower().Run)
	return router
}

// setConfiguration replaces the configuration by the text and returns its version.
func setConfiguration(t *testing.T, primary *Controller, text string) replication.Version {
	t.Helper()
	version, err := primary.Edit(Edit{Apply: func([]byte) ([]byte, error) { return []byte(text), nil }})
	if err != nil {
		t.Fatal(err)
	}
	return version
}

// TestRouterServesFromCopiesWithoutAPrimary starts a router while the restarted core has no primary. The
// router must serve under the configuration of the copies if it may serve without a lease and the responses
// of the copies prove which configuration was acknowledged, and must serve nothing otherwise.
func TestRouterServesFromCopiesWithoutAPrimary(t *testing.T) {
	before, primary := newCore(t, func(rt runtime.Runtime) runtime.Runtime { return rt })
	version := setConfiguration(t, primary, `{"routes":{"a":{"to":{"refuse":true}}}}`)
	membership := primary.Coordinator().Membership()
	for _, row := range []struct {
		name              string
		serveWithoutLease time.Duration
		blank             []string
		unreachable       string
		served            bool
	}{
		{"all copies respond", time.Minute, nil, "", true},
		{"a lease is required", 0, nil, "", false},
		{"the primary's disk is lost", time.Minute, []string{membership.Primary.Address}, "", true},
		{"the primary does not respond", time.Minute, nil, membership.Primary.Address, false},
	} {
		lifetime, end := context.WithCancel(context.Background())
		osRuntime := osruntime.New(lifetime, osruntime.NewClock())
		c := restartCore(t, osRuntime, before, row.blank...)
		if row.unreachable != "" {
			c.nodes[row.unreachable] = nil
		}
		events := osRuntime.NewCond()
		router := newRouterAt(osRuntime, c, row.serveWithoutLease, events)
		timeout := 5 * time.Second
		if !row.served {
			timeout = 400 * time.Millisecond
		}
		events.Wait(timeout, func() bool { return router.InForce() == version && len(router.Servers()) == 1 })
		until := router.Core().ServesUntil()
		if row.served != (router.InForce() == version) || row.served != until.After(osRuntime.Now()) {
			t.Errorf("%s: got version %s in force, serving until %v, want served %v", row.name, router.InForce(), until, row.served)
		}
		if row.served && len(router.Servers()) != 1 {
			t.Errorf("%s: the router has the configuration and %d servers, want 1 server", row.name, len(router.Servers()))
		}
		if !router.Core().LeaseEnds().IsZero() || !router.LastUpdateAt().IsZero() {
			t.Errorf("%s: a copy granted a lease", row.name)
		}
		end()
	}
}
