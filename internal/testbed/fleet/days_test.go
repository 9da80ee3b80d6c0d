package fleet

import (
	"seamloom.example/seamloom/internal/features"

	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// dayPlan is one seeded day: the same seed gives the same requests and the same random
// choices of the faults. Each floor leaves a margin of about a tenth below the lowest share of
// complete replies in docs/measurements.md, and is far above the share of a fleet that breaks
// no rule only because it refuses most requests.
type dayPlan struct {
	name       string
	deployment Deployment
	seed       uint64
	length     time.Duration
	faults     []string
	floor      float64
	// exercisedCheckers names the checkers that must have had entries to check.
	exercisedCheckers []string
}

var dayPlans = []dayPlan{
	{"disks and clocks", Sahil(), 21, 72 * time.Second,
		[]string{"power-loss", "stall-disk", "full-disk", "damaged-disk", "clock-forward", "clock-back", "kill-during-repair"}, 0.85,
		[]string{"reads are never older than what was accepted", "an accepted configuration is in force", "no second run"}},
	{"links", Kochloeffel(), 22, 62 * time.Second, []string{"cut-primary", "cut-core", "one-way", "isolate-courier", "bad-links"}, 0.60,
		[]string{"configurations never go back", "an accepted configuration is in force"}},
	{"operators", Kochloeffel(), 23, 48 * time.Second,
		[]string{"race", "storm", "evacuate-two", "large-configuration", "exchange-seeds"}, 0.80,
		[]string{"refused configurations take no effect", "reads are never older than what was accepted"}},
	{"servers", Sahil(), 24, 58 * time.Second,
		[]string{"dark-server", "leave-server", "lapse-handles", "slow-links", "replace-servers", "freeze-holder"}, 0.80,
		[]string{"one node at a time commands a server", "prompt memory is taken once and by its own request"}},
}

// TestDays runs each plan and checks that no checker finds a violation and that the core is
// complete at the end.
func TestDays(t *testing.T) {
	for _, plan := range dayPlans {
		t.Run(plan.name, func(t *testing.T) {
			fleet, err := NewFleet(plan.deployment, t.TempDir(), binaries, nil)
			if err != nil {
				t.Fatal(err)
			}
			closeAtTestEnd(t, fleet)
			chosen := faultsNamed(t, plan.faults...)
			for _, fault := range chosen {
				if fault.Links && fleet.Links == nil {
					if err := fleet.LinkNodes(); err != nil {
						t.Fatal(err)
					}
				}
				if fault.Scripted {
					fleet.UseScriptedNodes()
				}
			}
			if err := fleet.Begin(40 * time.Second); err != nil {
				t.Fatal(err)
			}
			day := openDay(t, fleet, plan.seed)
			verdict := day.Run(context.Background(), plan.length, chosen)
			wantClean(t, verdict, plan.floor)
			for _, checker := range plan.exercisedCheckers {
				if verdict.Finding(checker).Checked == 0 {
					t.Errorf("checker %q had no entries to check", checker)
				}
			}
			// The core recovers without an operator.
			if !Await(25*time.Second, fleet.CoreIsComplete) {
				t.Error("the core is not complete at the end of the day")
			}
		})
	}
}

// TestReadsRepairALaggingCopy stops the controller that is neither primary nor backup,
// changes the configuration, and restarts the controller. Its copy must catch up soon, by the
// repair that runs after each read of an operator or by the primary's sweep, which runs every
// five seconds.
func TestReadsRepairALaggingCopy(t *testing.T) {
	fleet := startFleet(t, Sahil(), nil)
	day := openDay(t, fleet, 34)
	if !Await(15*time.Second, fleet.CoreIsComplete) {
		t.Fatal("the core is not complete")
	}
	primary, backup := fleet.Primary(), day.coreMember("backup")
	var third *NodeProcess
	for _, node := range fleet.Controllers {
		if node != primary && node != backup {
			third = node
		}
	}
	third.Kill()
	if !Await(10*time.Second, day.NextRevision) {
		t.Fatal("no revision was accepted")
	}
	if err := third.Begin(); err != nil {
		t.Fatal(err)
	}
	if !Await(15*time.Second, func() bool {
		day.Operators.ReadRevision(primary)
		return third.Metric("seamloom_copy_number") >= primary.Metric("seamloom_copy_number")-3 &&
			third.Metric("seamloom_copy_number") > 0
	}) {
		t.Errorf("the lagging copy is at version %d, the primary at version %d", third.Metric("seamloom_copy_number"),
			primary.Metric("seamloom_copy_number"))
	}
}

// TestEveryFaultHasANameAndAFunction checks that each listed fault is found by its name and
// has a function that injects it.
func TestEveryFaultHasANameAndAFunction(t *testing.T) {
	for _, name := range FaultNames() {
		if fault, found := FaultNamed(name); !found || fault.Run == nil || fault.Name != name {
			t.Errorf("fault %q: got %+v, want a fault with this name and a function", name, fault)
		}
	}
}

// TestServiceReturnsAfterClosingFaults ends days with a restart of all routers, of all
// controllers and of all nodes, and with the loss of a zone. Service must return within its
// limit each time.
func TestServiceReturnsAfterClosingFaults(t *testing.T) {
	fleet := startFleet(t, Sahil(), nil)
	day := openDay(t, fleet, 31)
	for _, fault := range faultsNamed(t, "herd-couriers", "herd-expediters", "cold-start", "lose-zone") {
		if !Await(10*time.Second, day.NextRevision) {
			t.Fatalf("before %s: no revision was accepted", fault.Name)
		}
		verdict := day.RunClosingFault(context.Background(), fault)
		if finding := verdict.Finding("service returns after a closing fault"); finding.Violations > 0 {
			t.Errorf("%s: %+v", fault.Name, finding)
		}
		if err := fleet.AwaitReady(30 * time.Second); err != nil {
			t.Fatal(err)
		}
	}
	wantClean(t, CheckEvents(fleet.Events.Entries()), 0.5)
}

// TestCoreIsReplacedByEmptyMachinesAtNewAddresses replaces all three controllers while the
// configuration changes, and then restarts a router whose settings name only the old
// controllers.
func TestCoreIsReplacedByEmptyMachinesAtNewAddresses(t *testing.T) {
	fleet := startFleet(t, Sahil(), nil)
	day := openDay(t, fleet, 32)
	verdict := day.Run(context.Background(), 45*time.Second, faultsNamed(t, "replace-core"))
	wantClean(t, verdict, 0.85)
	for _, node := range fleet.Nodes()[:3] {
		if node.Running() {
			t.Errorf("the replaced controller %s still runs", node.Node.Name)
		}
	}
	if !Await(20*time.Second, fleet.CoreIsComplete) {
		t.Fatal("the new core is not complete")
	}
	if !Await(10*time.Second, day.NextRevision) {
		t.Error("the new core accepts no configuration")
	}
	router := fleet.Routers[0]
	router.Kill()
	if err := router.Begin(); err != nil {
		t.Fatal(err)
	}
	if !Await(15*time.Second, router.Ready) {
		t.Error("a router whose settings name only the old core does not find the new one")
	}
}

// TestConfigCheckAnswersEachCase runs the configcheck program against a fleet and checks its
// exit code and its remarks, because scripts depend on them.
func TestConfigCheckAnswersEachCase(t *testing.T) {
	fleet := startFleet(t, Sahil(), nil)
	day := openDay(t, fleet, 33)
	before, _ := day.Operators.ReadRevision(fleet.Controllers[0])
	folder := t.TempDir()
	good := strings.Replace(fleet.Deployment.Configuration(7), `"routes":{`, `"evacuations":{},"routes":{`, 1)
	runCheck := func(text string, arguments ...string) (int, report) {
		path := filepath.Join(folder, "proposed.json")
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		command := exec.Command(filepath.Join(binaries, "configcheck"),
			append([]string{path, "--json", "--to", fleet.Controllers[1].Node.Address}, arguments...)...)
		output, _ := command.Output()
		var result report
		if err := json.Unmarshal(output, &result); err != nil {
			t.Fatalf("%v: %s", err, output)
		}
		return command.ProcessState.ExitCode(), result
	}
	// The fleet enables its flags shortly after its start.
	if !Await(20*time.Second, func() bool { return enabledFlags(fleet) == len(features.Supported(nil)) }) {
		t.Fatal("the flags were not enabled")
	}
	for name, want := range map[string]struct {
		text      string
		arguments []string
		code      int
		kind      string
	}{
		"fine":        {good, nil, 0, ""},
		"errors":      {`{"services":{"a":{"tries":0}}}`, nil, 1, "out_of_range"},
		"malformed":   {`{"services"`, nil, 3, "malformed"},
		"raced":       {good, []string{"--expected", "1.1"}, 5, ""},
		"unreachable": {good, []string{"--to", "127.0.0.1:9"}, 4, ""},
		"warnings":    {`{"evacuations":{"harbour":{},"medina":{},"dunes":{}}}`, []string{"--patch"}, 10, "no_servers_left"},
	} {
		code, result := runCheck(want.text, want.arguments...)
		found := want.kind == ""
		for _, remark := range result.Remarks {
			found = found || remark.Type == want.kind
		}
		if code != want.code || !found {
			t.Errorf("%s: got exit code %d and %+v, want exit code %d and remark %q", name, code, result, want.code, want.kind)
		}
	}
	if after, _ := day.Operators.ReadRevision(fleet.Controllers[2]); after.Version != before.Version {
		t.Errorf("configcheck changed the configuration: got version %s, want %s", after.Version, before.Version)
	}
}

// report is the JSON output of configcheck.
type report struct {
	Result  string
	Remarks []struct{ Level, Type, Path string }
}
