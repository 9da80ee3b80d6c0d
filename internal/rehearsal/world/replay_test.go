package world

import (
	"os"
	"strconv"
	"testing"

	"seamloom.example/seamloom/internal/rehearsal"
)

func TestReplay(test *testing.T) {
	seed, failure := strconv.ParseUint(os.Getenv("SEAMLOOM_REPLAY"), 10, 64)
	if failure != nil {
		test.Skip()
	}
	deployment := rehearsal.Sahil()
	if seed%2 == 1 {
		deployment = rehearsal.Kochloeffel()
	}
	fleet := New(deployment, seed)
	fleet.Log = func(line string) { test.Log(line) }
	result := fleet.Run(DefaultDay())
	for _, entry := range fleet.Book.Entries() {
		if id := os.Getenv("SEAMLOOM_INQUIRY"); id != "" {
			if entry.Inquiry == id {
				test.Logf("%.4f %+v", entry.At.Sub(epoch).Seconds(), entry)
			}
			continue
		}
		if entry.Kind == rehearsal.EditionSeen || entry.Kind == rehearsal.EditionAccepted || entry.Kind == rehearsal.EditionRefused || entry.Kind == rehearsal.EditionAsked || entry.Kind == rehearsal.EditionUnknown {
			test.Log(entry.At.Sub(epoch).Seconds(), entry.Kind, entry.Courier, entry.Edition, entry.Took)
		}
	}
	test.Log(result.Verdict)
}
