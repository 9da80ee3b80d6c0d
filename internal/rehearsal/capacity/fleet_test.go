package capacity

import (
	"os"
	"os/exec"
	"testing"
	"time"
)

// TestFleetsOfProcessesAreMeasured builds the programs and looks at tiny fleets of
// them: hollow couriers before real expediters, and a real courier before servers.
func TestFleetsOfProcessesAreMeasured(t *testing.T) {
	binaries := t.TempDir()
	built := exec.Command("go", "build", "-o", binaries, "../../../cmd/courier", "../../../cmd/expediter")
	if said, err := built.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, said)
	}
	usual := watched
	watched = 700 * time.Millisecond
	defer func() { watched = usual }()
	readings, err := Plan{Sizes: tiny, Base: Sized{Nodes: 2}}.Run(FleetActivities(binaries))
	if err != nil {
		t.Fatal(err)
	}
	measured := map[string]bool{}
	for _, reading := range readings {
		if reading.Value < 0 {
			t.Errorf("%+v", reading)
		}
		measured[reading.Measure] = true
	}
	for _, measure := range []string{"messages to the primary, at rest", "memory, primary at rest", "time until a change is in force everywhere", "changes accepted in a storm of eight operators", "memory, courier"} {
		if !measured[measure] {
			t.Errorf("not measured: %s", measure)
		}
	}
}

// TestConsumptionIsRead reads this process's own.
func TestConsumptionIsRead(t *testing.T) {
	used, err := consumed(os.Getpid())
	if err != nil || used.resident <= 0 || used.moved <= 0 {
		t.Errorf("%+v, %v", used, err)
	}
	if _, err := consumed(0); err == nil {
		t.Error("a process that is not there was read")
	}
}
