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

// built are the product's programs for the platform, with the race detector, built once.
var built = sync.OnceValues(func() (string, error) {
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

// familyDay is a day for one family of rules: its file, the share of requests that is
// served at least, and the checkers that must have had something to look at.
type familyDay struct {
	name  string
	floor float64
	shows []string
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

// TestDaysOfThePlatform plays a day for each family of rules around the product's own
// programs, and wants no rule broken.
func TestDaysOfThePlatform(t *testing.T) {
	binaries, err := built()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = os.RemoveAll(binaries) })
	for _, family := range familyDays {
		t.Run(family.name, func(t *testing.T) { playFamily(t, family, binaries) })
	}
}

func playFamily(t *testing.T, family familyDay, binaries string) {
	plan, mistakes := ReadPlan(filepath.Join("days", family.name+".toml"))
	if mistakes != nil {
		t.Fatal(mistakes)
	}
	// With the race detector on a busy machine the day has less traffic; the rules are the
	// same.
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
			t.Errorf("panicked or raced: %v", names)
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
		t.Errorf("rules were broken %d times", verdict.Violations())
	}
	if served := verdict.Figures.Served(); served < family.floor {
		t.Errorf("%.3f of the requests were served, %.2f are wanted", served, family.floor)
	}
	for _, checker := range family.shows {
		if verdict.Finding(checker).Looked == 0 {
			t.Errorf("%s had nothing to look at", checker)
		}
	}
}
