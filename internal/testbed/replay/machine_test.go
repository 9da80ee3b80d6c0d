package replay

import (
	"os"
	"strings"
	"testing"
	"time"
)

// TestAMachineThatIsUpIsNotStartedTwice brings one machine up twice, as a roll and a
// closing fault at the same time do, and wants one process that ends with the day.
func TestAMachineThatIsUpIsNotStartedTwice(t *testing.T) {
	day := throughDay(t, t.TempDir())
	defer day.Close()
	machine := day.all()[0]
	if err := day.Begin(20 * time.Second); err != nil {
		t.Fatal(err)
	}
	first := machine.processes[0].command.Process.Pid
	if err := machine.up(); err != nil {
		t.Fatal(err)
	}
	if second := machine.processes[0].command.Process.Pid; second != first {
		t.Errorf("process %d runs beside %d", second, first)
	}
	machine.kill()
	for _, event := range day.Events.Events() {
		if event.Kind == EndedByItself {
			t.Errorf("%+v", event)
		}
	}
	if text := machine.processes[0].logged(); strings.Contains(text, "in use") {
		t.Error(text)
	}
	if _, err := os.Stat(machine.processes[0].log()); err != nil {
		t.Error(err)
	}
}
