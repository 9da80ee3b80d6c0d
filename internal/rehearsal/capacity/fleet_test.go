package capacity

import (
	"os"
	"os/exec"
	"testing"
	"time"
)

// TestFleetsOfProcessesAreMeasured builds the programs and looks at tiny fleets of
// them: hollow couriers before real expediters, and a real courier before servers.
func TestFleetsOfProcessesAreMeasured(test *testing.T) {
	binaries := test.TempDir()
	built := exec.Command("go", "build", "-o", binaries, "../../../cmd/courier", "../../../cmd/expediter")
	if said, failure := built.CombinedOutput(); failure != nil {
		test.Fatalf("%v\n%s", failure, said)
	}
	usual := watched
	watched = 700 * time.Millisecond
	defer func() { watched = usual }()
	readings, failure := Plan{Sizes: tiny, Base: Sized{Nodes: 2}}.Run(FleetActivities(binaries))
	if failure != nil {
		test.Fatal(failure)
	}
	measured := map[string]bool{}
	for _, reading := range readings {
		if reading.Value < 0 {
			test.Errorf("%+v", reading)
		}
		measured[reading.Measure] = true
	}
	for _, measure := range []string{"messages to the primary, at rest", "memory, primary at rest", "time until a change is in force everywhere", "changes accepted in a storm of eight operators", "memory, courier"} {
		if !measured[measure] {
			test.Errorf("not measured: %s", measure)
		}
	}
}

// TestConsumptionIsRead reads this process's own.
func TestConsumptionIsRead(test *testing.T) {
	used, failure := consumed(os.Getpid())
	if failure != nil || used.resident <= 0 || used.moved <= 0 {
		test.Errorf("%+v, %v", used, failure)
	}
	if _, failure := consumed(0); failure == nil {
		test.Error("a process that is not there was read")
	}
}
