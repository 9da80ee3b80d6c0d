package fleet

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

var binaries string

// TestMain builds the two programs, with the race detector, as users run them.
func TestMain(suite *testing.M) {
	folder, err := os.MkdirTemp("", "seamloom-binaries-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	build := exec.Command("go", "build", "-race", "-o", folder+string(filepath.Separator),
		"seamloom.example/seamloom/cmd/router", "seamloom.example/seamloom/cmd/controller",
		"seamloom.example/seamloom/cmd/testbed", "seamloom.example/seamloom/cmd/configcheck")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binaries = folder
	code := suite.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// startFleet begins a fleet that ends with the test; its logs are shown when
// the test fails.
func startFleet(t *testing.T, deployment Deployment, extra map[string]any) *Fleet {
	t.Helper()
	fleet, err := NewFleet(deployment, t.TempDir(), binaries, extra)
	if err != nil {
		t.Fatal(err)
	}
	guard(t, fleet)
	if err := fleet.Begin(40 * time.Second); err != nil {
		t.Fatal(err)
	}
	return fleet
}

// guard ends the fleet with the test and shows its logs when the test fails.
func guard(t *testing.T, fleet *Fleet) {
	t.Helper()
	t.Cleanup(func() {
		fleet.Close()
		for _, node := range fleet.Nodes() {
			log, _ := os.ReadFile(node.LogPath())
			if strings.Contains(string(log), "DATA RACE") || strings.Contains(string(log), "panic:") {
				t.Errorf("%s raced or panicked", node.Node.Name)
			}
			if t.Failed() {
				lines := strings.Split(string(log), "\n")
				t.Logf("%s:\n%s", node.Node.Name, strings.Join(lines[max(0, len(lines)-12):], "\n"))
			}
		}
	})
}

func openDay(t *testing.T, fleet *Fleet, seed uint64) *Day {
	t.Helper()
	day := NewDay(fleet, seed, io.Discard)
	// With the race detector on a busy machine the fleet is given half its
	// traffic; the rules are the same.
	day.Long, day.Short = 4, 5
	if err := day.Open(); err != nil {
		t.Fatal(err)
	}
	// A router is ready before its servers have all told their pressure: the
	// day begins when each has completed a request.
	probes := NewClients(fleet, seed+1000, 0)
	for _, node := range fleet.Routers {
		if !Await(15*time.Second, func() bool {
			question, entry := probes.question(fleet.Deployment.Short, node)
			return probes.Send(context.Background(), node.Node.Address, question, entry).Final == "complete"
		}) {
			t.Fatalf("%s completes nothing", node.Node.Name)
		}
	}
	return day
}

func named(t *testing.T, names ...string) []Fault {
	t.Helper()
	var chosen []Fault
	for _, name := range names {
		fault, found := FaultNamed(name)
		if !found {
			t.Fatalf("no fault %s", name)
		}
		chosen = append(chosen, fault)
	}
	return chosen
}

func wantClean(t *testing.T, verdict Verdict, floor float64) {
	t.Helper()
	t.Logf("\n%s", verdict)
	if verdict.Violations() > 0 {
		t.Error("something happened that must never happen")
	}
	if verdict.Share < floor {
		t.Errorf("only %.3f of the replies were complete, the floor is %.2f", verdict.Share, floor)
	}
}

func TestDayOfSahilWithKills(t *testing.T) {
	fleet := startFleet(t, Sahil(), nil)
	day := openDay(t, fleet, 1)
	verdict := day.Run(context.Background(), 28*time.Second, named(t, "kill-courier", "crash-server", "kill-primary"))
	wantClean(t, verdict, 0.85)
	if again := fleet.Primary(); again == nil {
		t.Error("no primary at the end of the day")
	}
}

func TestDayOfKochloeffelWithFreezesAndEvacuation(t *testing.T) {
	fleet := startFleet(t, Kochloeffel(), nil)
	day := openDay(t, fleet, 2)
	verdict := day.Run(context.Background(), 40*time.Second, named(t, "freeze-primary", "evacuate", "freeze-courier"))
	wantClean(t, verdict, 0.75)
	if evacuations := evacuationsIn(fleet.Events.Entries()); evacuations == 0 {
		t.Error("no evacuation was accepted: the day shows nothing of it")
	}
}

func evacuationsIn(entries []Entry) int {
	count := 0
	for _, entry := range entries {
		if entry.Kind == Evacuated {
			count++
		}
	}
	return count
}

// TestCorePrimaryLosesItsWholeDiskAfterConfirming takes the primary's disk
// right after an acceptance; what was accepted must be there at the successor,
// and the blank disk must be admitted again.
func TestCorePrimaryLosesItsWholeDiskAfterConfirming(t *testing.T) {
	fleet := startFleet(t, Sahil(), nil)
	day := openDay(t, fleet, 3)
	for round := range 2 {
		if !Await(15*time.Second, day.NextRevision) {
			t.Fatalf("round %d: no edition was accepted", round)
		}
		primary := fleet.Primary()
		if primary == nil {
			t.Fatal("no primary")
		}
		primary.Kill()
		if err := primary.WipeDisk(); err != nil {
			t.Fatal(err)
		}
		if err := primary.Begin(); err != nil {
			t.Fatal(err)
		}
		// Whole again: three keepers, all of them disks that are there.
		if !Await(25*time.Second, func() bool { return fleet.CoreIsComplete() }) {
			t.Fatalf("round %d: the core is not whole again", round)
		}
	}
	day.EndOfDayRead()
	verdict := Judge(fleet.Events.Entries())
	if finding := verdict.Finding("reads are never older than what was accepted"); finding.Looked == 0 || finding.Violations > 0 {
		t.Errorf("%+v", finding)
	}
}
