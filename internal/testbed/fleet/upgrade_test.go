package fleet

import (
	"seamloom.example/seamloom/internal/features"

	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"
)

// newFlags lists the feature flags that the newer release supports and the older one lacks.
var newFlags = []string{"backup_list", "change_sections", "order_patience", "pair_price", "tenants"}

// recordMember records the flags that a node supports.
func (f *Fleet) recordMember(node *NodeProcess, flags ...string) {
	f.Events.Append(Entry{Kind: MemberKnown, Holder: node.Node.Name, Flags: flags})
}

// restart drains and stops a node, and starts it as a release that lacks the withheld flags.
func restart(t *testing.T, fleet *Fleet, node *NodeProcess, withheld []string) {
	t.Helper()
	node.Stop(25 * time.Second)
	begin(t, fleet, node, withheld)
}

// begin starts a node as a release that lacks the withheld flags, and records the flags that the
// node supports: no flags if any flag is withheld.
func begin(t *testing.T, fleet *Fleet, node *NodeProcess, withheld []string) {
	t.Helper()
	node.Set("withhold_flags", append([]string{}, withheld...))
	if err := node.Begin(); err != nil {
		t.Fatal(err)
	}
	if !Await(20*time.Second, node.Ready) {
		t.Fatalf("%s is not ready again", node.Node.Name)
	}
	if len(withheld) == 0 {
		fleet.recordMember(node, newFlags...)
	} else {
		fleet.recordMember(node)
	}
}

// enabledFlags returns the number of enabled flags, or -1 if no controller answers.
func enabledFlags(fleet *Fleet) int {
	for _, node := range fleet.Controllers {
		var answer struct {
			Flags []struct {
				Enabled bool
			}
		}
		if !node.Running() {
			continue
		}
		if code, err := node.ReadJSON("/v1/flags", &answer); err == nil && code == http.StatusOK {
			count := 0
			for _, flag := range answer.Flags {
				if flag.Enabled {
					count++
				}
			}
			return count
		}
	}
	return -1
}

// TestRollingUpgradeEnablesFlagsOnlyWithTheLastMember upgrades a fleet node by node under
// traffic, and downgrades and upgrades one node again. While the last node is stopped, and
// while a member of the older release that joined and stopped is not retired, the fleet must
// not enable the new flags; after that it must enable them by itself. A node that then starts
// with the older release must report itself as restricted and still serve requests.
func TestRollingUpgradeEnablesFlagsOnlyWithTheLastMember(t *testing.T) {
	fleet := startFleet(t, Sahil(), map[string]any{"withhold_flags": newFlags, "flag_settle_milliseconds": 1000})
	for _, node := range fleet.Nodes() {
		fleet.recordMember(node)
	}
	day := NewDay(fleet, 4, io.Discard)
	if err := day.Open(); err != nil {
		t.Fatal(err)
	}
	lifetime, end := context.WithCancel(context.Background())
	defer end()
	day.Clients.SetRates(2, 3)
	var traffic sync.WaitGroup
	traffic.Go(func() { day.Clients.Run(lifetime) })
	defer traffic.Wait()
	defer end()
	nodes := fleet.Nodes()
	last := nodes[len(nodes)-1]
	for _, node := range nodes[:len(nodes)-1] {
		restart(t, fleet, node, nil)
	}
	downgraded := fleet.Routers[1]
	restart(t, fleet, downgraded, newFlags)
	restart(t, fleet, downgraded, nil)
	last.Kill()
	// A stopped member still counts long after the settle time.
	sleep(lifetime, 4*time.Second)
	if enabled := enabledFlags(fleet); enabled != 0 {
		t.Fatalf("got %d enabled flags, want 0 while a stopped member lacks them", enabled)
	}
	// Meanwhile a member of the older release joins and stops permanently.
	addresses, err := freeAddresses(1)
	if err != nil {
		t.Fatal(err)
	}
	var seeds []string
	for _, node := range fleet.Controllers {
		seeds = append(seeds, node.Node.Address)
	}
	newcomer := fleet.AddNode("courier", "courier-8", addresses[0], fleet.Deployment.Zones[0], seeds)
	begin(t, fleet, newcomer, newFlags)
	newcomer.Kill()
	begin(t, fleet, last, nil)
	sleep(lifetime, 4*time.Second)
	if enabled := enabledFlags(fleet); enabled != 0 {
		t.Fatalf("got %d enabled flags, want 0 while a member that joined and stopped lacks them", enabled)
	}
	if !Await(15*time.Second, func() bool {
		answer, err := day.Operators.Call(fleet.Controllers[0], http.MethodPost, "/v1/members/courier-8/retire", nil, "")
		return err == nil && answer.Outcome == "accepted"
	}) {
		t.Fatal("the stopped member could not be retired")
	}
	// A retired member no longer counts. The checker treats it as a member that supports all flags.
	fleet.recordMember(newcomer, newFlags...)
	allFlags := len(features.Supported(nil))
	if !Await(15*time.Second, func() bool { return enabledFlags(fleet) == allFlags }) {
		t.Fatalf("got %d enabled flags after the last member was upgraded, want %d", enabledFlags(fleet), allFlags)
	}
	// A node of the older release joins a fleet that has already enabled the new flags.
	restart(t, fleet, last, newFlags)
	var ready struct{ Restricted bool }
	if !Await(10*time.Second, func() bool {
		_, err := last.ReadJSON("/v1/ready", &ready)
		return err == nil && ready.Restricted
	}) {
		t.Fatal("a node that lacks an enabled flag does not report that it is restricted")
	}
	complete := 0
	clients := NewClients(fleet, 5, 0.3)
	for range 10 {
		request, entry := clients.newRequest(fleet.Deployment.Short, last)
		if reply := clients.Send(lifetime, last.Node.Address, request, entry); reply.Final == "complete" {
			complete++
		} else {
			t.Logf("request to the restricted router: %s %s", reply.Final, reply.Cause)
		}
	}
	if complete < 8 {
		t.Errorf("a restricted router completed %d of 10 requests, want at least 8", complete)
	}
	if enabled := enabledFlags(fleet); enabled != allFlags {
		t.Errorf("got %d enabled flags after the downgrade, want %d", enabled, allFlags)
	}
	end()
	traffic.Wait()
	wantClean(t, CheckEvents(fleet.Events.Entries()), 0.9)
}
