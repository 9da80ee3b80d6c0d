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

var oldRelease = []string{"backup_list", "change_sections", "order_patience", "pair_price", "tenants"}

func (f *Fleet) noteMember(node *NodeProcess, flags ...string) {
	f.Events.Append(Entry{Kind: MemberKnown, Holder: node.Node.Name, Flags: flags})
}

// restart stops a node in an orderly way and begins it as another release.
func restart(t *testing.T, fleet *Fleet, node *NodeProcess, withheld []string) {
	t.Helper()
	node.Stop(25 * time.Second)
	begin(t, fleet, node, withheld)
}

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
		fleet.noteMember(node, oldRelease...)
	} else {
		fleet.noteMember(node)
	}
}

// enabledFlags asks for the flags that are enabled, -1 when nobody can tell.
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

// TestRollingUpgradeEnablesFlagsOnlyWithTheLastMember restarts a fleet of the
// older release node by node under traffic, rolls one back and forward, keeps
// the last one stopped, and wants the flags enabled by the nodes themselves
// only when it is back; then a node of the older release starts restricted and
// still serves.
func TestRollingUpgradeEnablesFlagsOnlyWithTheLastMember(t *testing.T) {
	fleet := startFleet(t, Sahil(), map[string]any{"withhold_flags": oldRelease, "flag_settle_milliseconds": 1000})
	for _, node := range fleet.Nodes() {
		fleet.noteMember(node)
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
	back := fleet.Routers[1]
	restart(t, fleet, back, oldRelease)
	restart(t, fleet, back, nil)
	last.Kill()
	// Long past the settling time the stopped member still counts.
	sleep(lifetime, 4*time.Second)
	if enabled := enabledFlags(fleet); enabled != 0 {
		t.Fatalf("%d flags are enabled while a recorded member that is stopped lacks them", enabled)
	}
	// A member of the older release joins meanwhile, and stops for good.
	addresses, err := freeAddresses(1)
	if err != nil {
		t.Fatal(err)
	}
	var seeds []string
	for _, node := range fleet.Controllers {
		seeds = append(seeds, node.Node.Address)
	}
	newcomer := fleet.AddNode("courier", "courier-8", addresses[0], fleet.Deployment.Zones[0], seeds)
	begin(t, fleet, newcomer, oldRelease)
	newcomer.Kill()
	begin(t, fleet, last, nil)
	sleep(lifetime, 4*time.Second)
	if enabled := enabledFlags(fleet); enabled != 0 {
		t.Fatalf("%d flags are enabled while a member that joined and stopped lacks them", enabled)
	}
	if !Await(15*time.Second, func() bool {
		answer, err := day.Operators.Call(fleet.Controllers[0], http.MethodPost, "/v1/members/courier-8/retire", nil, "")
		return err == nil && answer.Outcome == "accepted"
	}) {
		t.Fatal("a stopped member could not be retired")
	}
	fleet.noteMember(newcomer, oldRelease...)
	everyFlag := len(features.Supported(nil))
	if !Await(15*time.Second, func() bool { return enabledFlags(fleet) == everyFlag }) {
		t.Fatalf("the flags were not enabled when the last member was recorded: %d", enabledFlags(fleet))
	}
	// An older release comes back to a fleet that has gone on.
	restart(t, fleet, last, oldRelease)
	var ready struct{ Restricted bool }
	if !Await(10*time.Second, func() bool {
		_, err := last.ReadJSON("/v1/ready", &ready)
		return err == nil && ready.Restricted
	}) {
		t.Fatal("a node that lacks an enabled flag does not say that it is restricted")
	}
	complete := 0
	others := NewClients(fleet, 5, 0.3)
	for range 10 {
		question, entry := others.question(fleet.Deployment.Short, last)
		if reply := others.Send(lifetime, last.Node.Address, question, entry); reply.Final == "complete" {
			complete++
		} else {
			t.Logf("restricted: %s %s", reply.Final, reply.Cause)
		}
	}
	if complete < 8 {
		t.Errorf("a restricted courier completed %d of 10 inquiries", complete)
	}
	if enabled := enabledFlags(fleet); enabled != everyFlag {
		t.Errorf("flags were disabled again: %d of %d are left", enabled, everyFlag)
	}
	end()
	traffic.Wait()
	wantClean(t, Judge(fleet.Events.Entries()), 0.9)
}
