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

// binaries is the folder of the programs that TestMain builds.
var binaries string

// TestMain builds the programs with the race detector and runs the tests on them.
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

// startFleet starts a fleet that is closed at the end of the test. If the test fails, the
// ends of the fleet's logs are printed.
func startFleet(t *testing.T, deployment Deployment, extra map[string]any) *Fleet {
	t.Helper()
	fleet, err := NewFleet(deployment, t.TempDir(), binaries, extra)
	if err != nil {
		t.Fatal(err)
	}
	closeAtTestEnd(t, fleet)
	if err := fleet.Begin(40 * time.Second); err != nil {
		t.Fatal(err)
	}
	return fleet
}

// closeAtTestEnd closes the fleet at the end of the test. It fails the test if a node had a data
// race or a panic, and prints the ends of the logs if the test failed.
func closeAtTestEnd(t *testing.T, fleet *Fleet) {
	t.Helper()
	t.Cleanup(func() {
		fleet.Close()
		for _, node := range fleet.Nodes() {
			log, _ := os.ReadFile(node.LogPath())
			if strings.Contains(string(log), "DATA RACE") || strings.Contains(string(log), "panic:") {
				t.Errorf("%s had a data race or a panic", node.Node.Name)
			}
			if t.Failed() {
				lines := strings.Split(string(log), "\n")
				t.Logf("%s:\n%s", node.Node.Name, strings.Join(lines[max(0, len(lines)-12):], "\n"))
			}
		}
	})
}

// openDay returns a day whose fleet has a configuration and whose routers complete requests.
func openDay(t *testing.T, fleet *Fleet, seed uint64) *Day {
	t.Helper()
	day := NewDay(fleet, seed, io.Discard)
	// The fleet gets half of its usual traffic, because the programs run with the race
	// detector on a busy machine. The rules are the same.
	day.Long, day.Short = 4, 5
	if err := day.Open(); err != nil {
		t.Fatal(err)
	}
	// A router is ready before all servers have reported their load. The day starts once
	// each router has completed a request.
	probes := NewClients(fleet, seed+1000, 0)
	for _, node := range fleet.Routers {
		if !Await(15*time.Second, func() bool {
			request, entry := probes.newRequest(fleet.Deployment.Short, node)
			return probes.Send(context.Background(), node.Node.Address, request, entry).Final == "complete"
		}) {
			t.Fatalf("%s did not complete a request", node.Node.Name)
		}
	}
	return day
}

// faultsNamed returns the faults with the given names.
func faultsNamed(t *testing.T, names ...string) []Fault {
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

// wantClean checks that a verdict has no violations and a large enough share of complete
// replies.
func wantClean(t *testing.T, verdict Verdict, floor float64) {
	t.Helper()
	t.Logf("\n%s", verdict)
	if verdict.Violations() > 0 {
		t.Errorf("got %d violations, want none", verdict.Violations())
	}
	if verdict.Share < floor {
		t.Errorf("got a share of complete replies of %.3f, want at least %.2f", verdict.Share, floor)
	}
}

// TestDayOfSahilWithKills runs a day in which a router, a server and the primary are lost.
func TestDayOfSahilWithKills(t *testing.T) {
	fleet := startFleet(t, Sahil(), nil)
	day := openDay(t, fleet, 1)
	verdict := day.Run(context.Background(), 28*time.Second, faultsNamed(t, "kill-courier", "crash-server", "kill-primary"))
	wantClean(t, verdict, 0.85)
	if primary := fleet.Primary(); primary == nil {
		t.Error("no primary at the end of the day")
	}
}

// TestDayOfKochloeffelWithFreezesAndEvacuation runs a day in which the primary and a router
// are frozen and a zone is evacuated.
func TestDayOfKochloeffelWithFreezesAndEvacuation(t *testing.T) {
	fleet := startFleet(t, Kochloeffel(), nil)
	day := openDay(t, fleet, 2)
	verdict := day.Run(context.Background(), 40*time.Second, faultsNamed(t, "freeze-primary", "evacuate", "freeze-courier"))
	wantClean(t, verdict, 0.75)
	if evacuations := evacuationsIn(fleet.Events.Entries()); evacuations == 0 {
		t.Error("no evacuation was accepted, so the day did not test any")
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

// TestPrimaryLosesItsDiskAfterAcceptingAChange wipes the primary's disk right after a change
// was accepted. The next primary must have the change, and the node with the empty disk must
// be admitted to the core again.
func TestPrimaryLosesItsDiskAfterAcceptingAChange(t *testing.T) {
	fleet := startFleet(t, Sahil(), nil)
	day := openDay(t, fleet, 3)
	for round := range 2 {
		if !Await(15*time.Second, day.NextRevision) {
			t.Fatalf("round %d: no revision was accepted", round)
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
		// The core must have three witnesses again, with the disks that they have now.
		if !Await(25*time.Second, func() bool { return fleet.CoreIsComplete() }) {
			t.Fatalf("round %d: the core is not complete again", round)
		}
	}
	day.EndOfDayRead()
	verdict := CheckEvents(fleet.Events.Entries())
	if finding := verdict.Finding("reads are never older than what was accepted"); finding.Checked == 0 || finding.Violations > 0 {
		t.Errorf("got %+v, want reads without violations", finding)
	}
}
