package replay

import (
	"os"
	"strings"
	"testing"
	"time"
)

// TestAMachineThatIsUpIsNotStartedTwice starts one machine twice, as a rolling restart and a closing
// fault at the same time do. Only one process may run, and none may exit by itself.
func TestAMachineThatIsUpIsNotStartedTwice(t *testing.T) {
	day := passThroughDay(t, t.TempDir())
	defer day.Close()
	machine := day.all()[0]
	if err := day.Begin(20 * time.Second); err != nil {
		t.Fatal(err)
	}
	first := machine.processes[0].command.Process.Pid
	if err := machine.startProcesses(); err != nil {
		t.Fatal(err)
	}
	if second := machine.processes[0].command.Process.Pid; second != first {
		t.Errorf("got process %d after the second start, want process %d", second, first)
	}
	machine.kill()
	for _, event := range day.Events.Events() {
		if event.Kind == ProcessExited {
			t.Errorf("a process exited by itself: %+v", event)
		}
	}
	if text := machine.processes[0].readLog(); strings.Contains(text, "in use") {
		t.Error(text)
	}
	if _, err := os.Stat(machine.processes[0].logPath()); err != nil {
		t.Error(err)
	}
}
