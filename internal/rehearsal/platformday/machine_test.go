package platformday

import (
	"os"
	"strings"
	"testing"
	"time"
)

// TestAMachineThatIsUpIsNotStartedTwice brings one machine up twice, as a roll and a
// closing fault at the same time do, and wants one process that ends with the day.
func TestAMachineThatIsUpIsNotStartedTwice(test *testing.T) {
	day := throughDay(test, test.TempDir())
	defer day.Close()
	machine := day.all()[0]
	if failure := day.Begin(20 * time.Second); failure != nil {
		test.Fatal(failure)
	}
	first := machine.processes[0].command.Process.Pid
	if failure := machine.up(); failure != nil {
		test.Fatal(failure)
	}
	if second := machine.processes[0].command.Process.Pid; second != first {
		test.Errorf("process %d runs beside %d", second, first)
	}
	machine.kill()
	for _, event := range day.Book.Events() {
		if event.Kind == EndedByItself {
			test.Errorf("%+v", event)
		}
	}
	if text := machine.processes[0].logged(); strings.Contains(text, "in use") {
		test.Error(text)
	}
	if _, failure := os.Stat(machine.processes[0].log()); failure != nil {
		test.Error(failure)
	}
}
