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

// oneServer is a directory.
type oneServer struct{}

func (oneServer) Servers() ([]membership.Server, error) {
	return []membership.Server{{Name: "server-1", Address: "10.0.0.1:80", Service: "desk"}}, nil
}
func (oneServer) Nodes() ([]membership.Node, error) { return nil, failure.New(failure.NoSuch, "none") }

// restarted opens a core's disks again, in controllers that do nothing by themselves:
// all have just started and nobody is primary. The blank ones have lost their disks.
func restarted(t *testing.T, rt runtime.Runtime, before *core, blank ...string) *core {
	t.Helper()
	after := &core{nodes: map[string]*Controller{}}
	for address, m := range before.storages {
		keeping := before.keeping[address]
		if slices.Contains(blank, address) {
			m, keeping = &memoryStorage{files: map[string][]byte{}}, &memoryStorage{files: map[string][]byte{}}
		}
		options := Options{Name: address, Address: address, Seeds: []string{"m0", "m1", "m2"}, Supported: features.Supported(nil),
			Fresh: replication.Identity("next disk-" + address), Directory: oneServer{}}
		node, _, err := Open(rt, after, keeping, m, options, func(string, ...any) {})
		if err != nil {
			t.Fatal(err)
		}
		after.nodes[address] = node
	}
	return after
}

// newRouterAt starts a router that follows a core; told rings with its events.
func newRouterAt(rt runtime.Runtime, line wire.Client, without time.Duration, told runtime.Cond) *dataplane.Router {
	router := dataplane.NewRouter(rt, line, nil, nil, dataplane.Options{Options: seamloom.Options{Router: "courier-1", Supported: seamloom.Supported(nil)},
		Address: "c1", Seeds: []string{"m0", "m1", "m2"}, ServeWithoutLease: without, Nonce: func() string { return "nonce" },
		Directory: oneServer{}, OnEnded: func(*auction.Request, auction.Decision) {}}, func(string, ...any) { told.Broadcast() })
	rt.Go(router.Follower().Run)
	return router
}

func setConfiguration(t *testing.T, primary *Controller, text string) replication.Version {
	t.Helper()
	version, err := primary.Edit(Edit{Apply: func([]byte) ([]byte, error) { return []byte(text), nil }})
	if err != nil {
		t.Fatal(err)
	}
	return version
}

// TestRouterServesByTheCopiesBeforeThereIsAPrimary restarts a router and a whole core
// that has no primary yet.
func TestRouterServesByTheCopiesBeforeThereIsAPrimary(t *testing.T) {
	before, primary := newCore(t, func(rt runtime.Runtime) runtime.Runtime { return rt })
	version := setConfiguration(t, primary, `{"routes":{"a":{"to":{"refuse":true}}}}`)
	membership := primary.Coordinator().Membership()
	for _, row := range []struct {
		name    string
		without time.Duration
		blank   []string
		dark    string
		served  bool
	}{
		{"all are there", time.Minute, nil, "", true},
		{"a hold is needed", 0, nil, "", false},
		{"the primary's disk is lost", time.Minute, []string{membership.Primary.Address}, "", true},
		{"the primary is dark", time.Minute, nil, membership.Primary.Address, false},
	} {
		lifetime, end := context.WithCancel(context.Background())
		turns := osruntime.New(lifetime, osruntime.NewClock())
		c := restarted(t, turns, before, row.blank...)
		if row.dark != "" {
			c.nodes[row.dark] = nil
		}
		told := turns.NewCond()
		router := newRouterAt(turns, c, row.without, told)
		timeout := 5 * time.Second
		if !row.served {
			timeout = 400 * time.Millisecond
		}
		told.Wait(timeout, func() bool { return router.InForce() == version && len(router.Servers()) == 1 })
		until := router.Core().ServesUntil()
		if row.served != (router.InForce() == version) || row.served != until.After(turns.Now()) {
			t.Errorf("%s: %s in force, serves until %v", row.name, router.InForce(), until)
		}
		if row.served && len(router.Servers()) != 1 {
			t.Errorf("%s: no list of servers came with it", row.name)
		}
		if !router.Core().LeaseEnds().IsZero() || !router.Heard().IsZero() {
			t.Errorf("%s: a copy gave a hold", row.name)
		}
		end()
	}
}
