package replay

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"
)

// buildBinaries builds the product's programs for the platform once, with the race detector, and
// returns their folder.
var buildBinaries = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "seamloom-platform-")
	if err != nil {
		return "", err
	}
	output, err := exec.Command("go", "build", "-race", "-o", folder+string(filepath.Separator),
		"seamloom.example/seamloom/platform/cmd/...").CombinedOutput()
	if err != nil {
		return folder, fmt.Errorf("%w: %s", err, output)
	}
	return folder, nil
})

// familyDay is a day for one family of rules: the name of its file, the smallest share of requests
// that must be served, and the checkers that must have something to check.
type familyDay struct {
	name      string
	minServed float64
	exercised []string
}

var familyDays = []familyDay{
	{"quiet", 0.9, []string{"MIXED answers", "UNASKED", "TWICE", "ROUTE", "ORDER", "CONFIG applied", "CONFIG back", "BUDGET deadline"}},
	{"machines", 0.6, []string{"MIXED answers", "ENDED"}},
	{"rolling", 0.8, []string{"DRAIN readiness"}},
	{"servers", 0.7, []string{"DRAIN servers", "FAILBACK"}},
	{"answers", 0.7, []string{"REFUSED", "GONE"}},
	{"operators", 0.7, []string{"EVAC", "CONFIG acknowledged", "CONFIG later routes", "ACKS"}},
	{"losses", 0.6, []string{"RECOVER", "CONFIG read back"}},
	{"grown", 0.7, []string{"FAILBACK", "MIXED answers"}},
	{"wiped", 0.5, []string{"RECOVER", "EVAC"}},
}

// TestDaysOfThePlatform runs a day for each family of rules around the product's own programs, and
// checks that no rule is broken.
func TestDaysOfThePlatform(t *testing.T) {
	binaries, err := buildBinaries()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = os.RemoveAll(binaries) })
	for _, family := range familyDays {
		t.Run(family.name, func(t *testing.T) { runFamily(t, family, binaries) })
	}
}

// runFamily runs one day and checks its verdict.
func runFamily(t *testing.T, family familyDay, binaries string) {
	plan, mistakes := ReadPlan(filepath.Join("days", family.name+".toml"))
	if mistakes != nil {
		t.Fatal(mistakes)
	}
	// The race detector slows the programs down, so the day has less traffic. The rules are the same.
	plan.Rate = 14
	roles, err := ReadRoles("../../../deploy/system.toml", binaries)
	if err != nil {
		t.Fatal(err)
	}
	day, err := NewDay(SmallSite(), roles, plan.Seed, t.TempDir(), t.Output())
	if err != nil {
		t.Fatal(err)
	}
	defer day.Close()
	defer func() {
		if names := day.Crashed(); len(names) > 0 {
			t.Errorf("these processes panicked or had a data race: %v", names)
		}
		if t.Failed() {
			for name, log := range day.Logs(8) {
				t.Logf("%s:\n%s", name, log)
			}
		}
	}()
	if err := day.Begin(60 * time.Second); err != nil {
		t.Fatal(err)
	}
	verdict := day.Run(plan)
	t.Log(verdict)
	if verdict.Violations() > 0 {
		t.Errorf("got %d violations of rules, want none", verdict.Violations())
	}
	if served := verdict.Figures.Served(); served < family.minServed {
		t.Errorf("got a share of served requests of %.3f, want at least %.2f", served, family.minServed)
	}
	for _, checker := range family.exercised {
		if verdict.Finding(checker).Checked == 0 {
			t.Errorf("%s had nothing to check", checker)
		}
	}
}
