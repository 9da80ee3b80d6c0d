package fleet

import (
	"math/rand/v2"
	"net/http"
	"net/url"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/uuid"
)

// registerInput is a read, or a change from one revision to another.
type registerInput struct {
	read     bool
	expected int
	next     int
}

// registerOutput is the revision that a read returned, or how a change ended.
type registerOutput struct {
	revision int
	outcome  string
}

// register models the configuration as one compare-and-set register. A change with an
// unknown outcome may take effect at any later time, or never.
var register = porcupine.Model{
	Init: func() any { return 1 },
	Step: func(state, input, output any) (bool, any) {
		current, asked, answered := state.(int), input.(registerInput), output.(registerOutput)
		switch {
		case asked.read:
			return answered.revision == current, current
		case answered.outcome == "accepted":
			return current == asked.expected, asked.next
		case answered.outcome == "conflict":
			return current != asked.expected, current
		}
		if current == asked.expected {
			return true, asked.next
		}
		return true, current
	},
}

// TestConfigurationHistoryIsLinearizable makes operators change the configuration
// concurrently at different controllers while primaries are killed, and checks the history of
// their reads and changes with porcupine.
func TestConfigurationHistoryIsLinearizable(t *testing.T) {
	fleet := startFleet(t, Sahil(), nil)
	day := openDay(t, fleet, 5)
	began := time.Now()
	var mutex sync.Mutex
	var history []porcupine.Operation
	revision := 1
	record := func(client int, asked registerInput, answered registerOutput, from, to time.Duration) {
		mutex.Lock()
		defer mutex.Unlock()
		history = append(history, porcupine.Operation{
			ClientId: client,
			Input:    asked,
			Output:   answered,
			Call:     from.Nanoseconds(),
			Return:   to.Nanoseconds(),
		})
	}
	newRevision := func() int {
		mutex.Lock()
		defer mutex.Unlock()
		revision++
		return revision
	}
	// never is the end of a change with an unknown outcome, which may take effect at any time.
	never := time.Hour
	var operators sync.WaitGroup
	deadline := began.Add(20 * time.Second)
	for client := range 4 {
		operators.Go(func() {
			random := rand.New(rand.NewPCG(5, uint64(client)))
			for time.Now().Before(deadline) {
				node := fleet.Controllers[random.IntN(3)]
				from := time.Since(began)
				current, err := day.Operators.Call(node, http.MethodGet, "/v1/configuration", nil, "")
				if err != nil || current.Status != http.StatusOK {
					sleep(t.Context(), 50*time.Millisecond)
					continue
				}
				seen := RevisionOf(current.Configuration)
				record(client, registerInput{read: true}, registerOutput{revision: seen}, from, time.Since(began))
				next := newRevision()
				from = time.Since(began)
				query := url.Values{"expected": {current.Version}, "change": {uuid.NewString()}}
				answer, err := day.Operators.Call(fleet.Controllers[random.IntN(3)], http.MethodPut, "/v1/configuration",
					query, fleet.Deployment.Configuration(next))
				to, outcome := time.Since(began), "unknown"
				switch {
				case err == nil && answer.Outcome == "accepted":
					outcome = "accepted"
				case err == nil && answer.Type == "version_conflict":
					outcome = "conflict"
				case err == nil && answer.Outcome == "not_accepted":
					continue
				default:
					to = never
				}
				record(client, registerInput{expected: seen, next: next}, registerOutput{outcome: outcome}, from, to)
			}
		})
	}
	for range 2 {
		sleep(t.Context(), 6*time.Second)
		if primary := fleet.Primary(); primary != nil {
			primary.Kill()
			sleep(t.Context(), time.Second)
			if err := primary.Begin(); err != nil {
				t.Error(err)
			}
		}
	}
	operators.Wait()
	accepted := 0
	for _, operation := range history {
		if operation.Output.(registerOutput).outcome == "accepted" {
			accepted++
		}
	}
	t.Logf("%d operations, %d accepted changes", len(history), accepted)
	if accepted < 10 {
		t.Errorf("got %d accepted changes, want at least 10 for a history that tests anything", accepted)
	}
	if result := porcupine.CheckOperationsTimeout(register, history, time.Minute); result != porcupine.Ok {
		t.Errorf("the history is not linearizable: %v", result)
	}
	// The check itself must detect a read of a revision that was replaced long before.
	stale := append(append([]porcupine.Operation(nil), history...), porcupine.Operation{
		ClientId: 9,
		Input:    registerInput{read: true},
		Output:   registerOutput{revision: 1},
		Call:     time.Since(began).Nanoseconds(),
		Return:   time.Since(began).Nanoseconds() + 1,
	})
	if result := porcupine.CheckOperationsTimeout(register, stale, time.Minute); result == porcupine.Ok {
		t.Error("porcupine does not detect a stale read")
	}
}
