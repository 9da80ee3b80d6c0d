//go:build !race

package replication

import (
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// budget limits how many events of each kind may happen in an exploration.
type budget struct{ proposals, crashes, restarts, wipes, writes, delays, duplicates, transfers int }

// coreOfThree returns a core of three machines with a budget.
func coreOfThree(b budget) *coreState { return newCore(3, b) }

// takeoverWithLostDisk is the budget for the returns of three killed machines, of which one is killed
// once more and may lose its disk.
var takeoverWithLostDisk = budget{proposals: 2, crashes: 1, restarts: 4, wipes: 1}

// newCore returns a core with a budget and the given number of witnesses, two of which are replicas
// in sync.
func newCore(witnesses int, b budget) *coreState {
	state := newCoreState(witnesses)
	state.proposals, state.crashes, state.restarts, state.wipes = b.proposals, b.crashes, b.restarts, b.wipes
	state.writes, state.delays, state.duplicates, state.transfers = b.writes, b.delays, b.duplicates, b.transfers
	return state
}

// fiveWithoutPrimary returns a core of five witnesses and three replicas in sync whose primary's
// machine is gone, so that there are two candidates.
func fiveWithoutPrimary() *coreState {
	five := newCoreState(5)
	five.proposals = 2
	membership := five.newest.WithReplicas(five.newest.Primary, []Replica{five.members[1].witness.self, five.members[2].witness.self})
	five.newest = membership
	five.members[2].version = 1
	for _, member := range five.members {
		member.witness.record.Membership = membership
		member.witness.leaseEnds = time.Time{}
	}
	five.members[0].crash()
	return five
}

// allKilled returns a core of three machines that were all killed while a write was in flight, which is
// on the primary's disk only, on the backup's disk only, or on neither.
func allKilled(b budget, onPrimary, onBackup bool) *coreState {
	state := coreOfThree(b)
	for i, written := range []bool{onPrimary, onBackup} {
		if written {
			state.members[i].version++
		}
	}
	for _, member := range state.members {
		member.crash()
	}
	return state
}

// TestElectionAndReplicationExplored visits every state that limited cores can reach with crashes,
// a lost disk, a replaced witness, a transfer of leadership, late acknowledgements and delayed
// messages. It uses the production types Witness, Membership and proposal.
func TestElectionAndReplicationExplored(t *testing.T) {
	const maxStates = 400_000
	for _, row := range []struct {
		name string
		from *coreState
	}{
		{"a takeover and a delayed message", coreOfThree(budget{proposals: 1, crashes: 1, writes: 1, delays: 1})},
		{"two takeovers, one by a restarted machine", coreOfThree(budget{proposals: 2, crashes: 1, restarts: 1})},
		{"a lost disk and a new backup", coreOfThree(budget{proposals: 1, crashes: 1, restarts: 1, wipes: 1, writes: 1})},
		{"a lost disk and the replacement of its witness", coreOfThree(budget{proposals: 2, crashes: 1, restarts: 1, wipes: 1})},
		{"a transfer, and the successor's takeover", coreOfThree(budget{proposals: 2, crashes: 1, transfers: 1})},
		{
			"a new backup is granted while a write is in flight",
			coreOfThree(budget{proposals: 1, crashes: 1, writes: 1, delays: 1, duplicates: 1}),
		},
		{"five witnesses, two candidates", fiveWithoutPrimary()},
		{"all killed, a disk lost during the takeover, a write on the primary", allKilled(takeoverWithLostDisk, true, false)},
		{"all killed, a disk lost during the takeover, a write on the backup", allKilled(takeoverWithLostDisk, false, true)},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			e := &explorer{seen: map[[16]byte]struct{}{}, limit: maxStates}
			e.explore(row.from)
			t.Logf("%d states, exhausted %v: %s", len(e.seen), len(e.seen) < e.limit, e.violation)
			if e.violation != "" {
				slices.Reverse(e.path)
				t.Errorf("after %d states: %q, reached by\n%s", len(e.seen), e.violation, strings.Join(e.path, "\n"))
			}
			if len(e.seen) >= e.limit {
				t.Errorf("the exploration is not exhausted after %d states", len(e.seen))
			}
		})
	}
}

// TestExplorationFindsInjectedFaults injects one fault at a time into the protocol: the exploration
// has to report a violation.
func TestExplorationFindsInjectedFaults(t *testing.T) {
	const maxStates = 200_000
	for _, row := range []struct {
		injectedFault injectedFault
		budget        budget
	}{
		{forgetsPromises, budget{proposals: 2, crashes: 1, restarts: 1}},
		{leaseWithoutQuorum, budget{proposals: 2, writes: 1}},
		{leaseOutlivesWitnessLeases, budget{proposals: 1}},
		{restartsWithoutWait, budget{proposals: 1, crashes: 1, restarts: 1}},
		{keepsLease, budget{proposals: 2, transfers: 1}},
		{anyReplicaIsCandidate, budget{proposals: 1, crashes: 1}},
		{acknowledgesBeforeBackup, budget{proposals: 1, crashes: 1, writes: 1}},
		{acknowledgesUnderLaterEpoch, budget{proposals: 2, crashes: 1, writes: 1}},
		{acceptsOlderSnapshots, budget{proposals: 1, crashes: 1, writes: 1, delays: 1}},
		{unfenced, budget{proposals: 2, crashes: 1, writes: 1, delays: 1}},
		{readsUnsynced, budget{proposals: 1, writes: 1}},
		{dropsReplicaAtTakeover, budget{proposals: 1, crashes: 1}},
		{dropsReplicaAtTransfer, budget{proposals: 1, transfers: 1}},
		{readsBeforeInstallation, budget{proposals: 1, crashes: 1, restarts: 1, writes: 1}},
		{staleReplicaStays, budget{proposals: 2, crashes: 1, writes: 1}},
	} {
		t.Run(string(row.injectedFault), func(t *testing.T) {
			t.Parallel()
			e := &explorer{seen: map[[16]byte]struct{}{}, limit: maxStates, injectedFault: row.injectedFault}
			e.explore(coreOfThree(row.budget))
			t.Logf("%d states: %s", len(e.seen), e.violation)
			if e.violation == "" {
				t.Errorf("found no violation in %d states", len(e.seen))
			}
		})
	}
}

// randomWalkStates is the largest number of states in one random exploration. It limits the memory
// that an exploration uses; the next exploration starts with another seed.
const randomWalkStates = 20_000

// TestExplorationAtRandom reaches deep states of cores with larger budgets, in a random order:
// three delayed messages, some delivered twice, several crashes and writes, and writes with five
// witnesses. It runs for SEAMLOOM_EXPLORE_SECONDS, 3 s by default; "testbed explore" runs it for
// longer.
func TestExplorationAtRandom(t *testing.T) {
	length := 3 * time.Second
	if seconds, err := strconv.Atoi(os.Getenv("SEAMLOOM_EXPLORE_SECONDS")); err == nil {
		length = time.Duration(seconds) * time.Second
	}
	for _, row := range []struct {
		name string
		from func() *coreState
	}{
		{"three, delayed messages", func() *coreState {
			return newCore(3, budget{proposals: 3, crashes: 2, restarts: 2, writes: 2, delays: 3, duplicates: 1})
		}},
		{"three, a lost disk and a transfer", func() *coreState {
			return newCore(3, budget{proposals: 4, crashes: 2, restarts: 2, wipes: 1, writes: 2, delays: 1, transfers: 1})
		}},
		{"three, all killed, a disk lost during the takeover", func() *coreState {
			return allKilled(budget{proposals: 5, crashes: 2, restarts: 5, wipes: 1, writes: 1, delays: 1}, true, false)
		}},
		{"five, writes", func() *coreState {
			return newCore(5, budget{proposals: 2, crashes: 2, restarts: 1, writes: 2, delays: 3, duplicates: 1})
		}},
		{"five, a lost disk and a transfer", func() *coreState {
			return newCore(5, budget{proposals: 3, crashes: 2, restarts: 2, wipes: 1, writes: 2, delays: 1, transfers: 1})
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			deadline, states, walks := time.Now().Add(length), 0, uint64(0)
			for time.Now().Before(deadline) {
				walks++
				e := &explorer{
					seen:     map[[16]byte]struct{}{},
					limit:    randomWalkStates,
					random:   rand.New(rand.NewPCG(walks, 7)),
					deadline: deadline,
				}
				e.explore(row.from())
				states += len(e.seen)
				if e.violation != "" {
					slices.Reverse(e.path)
					t.Fatalf("walk %d, after %d states: %q, reached by\n%s", walks, len(e.seen), e.violation, strings.Join(e.path, "\n"))
				}
			}
			t.Logf("%s: %d states in %d walks, %.0f per second", row.name, states, walks, float64(states)/length.Seconds())
		})
	}
}
