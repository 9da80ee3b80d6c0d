//go:build !race

package simulation

import (
	"os"
	"runtime/debug"
	"strconv"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/testbed/fleet"
)

// mostMemory is what the worlds may take before the collector rests no more: without it the
// package took 14 GB beside other work, and was killed for want of memory.
const mostMemory = 4 << 30

// TestMain lets the collector rest: a world is young and dies whole.
func TestMain(suite *testing.M) {
	debug.SetGCPercent(400)
	debug.SetMemoryLimit(mostMemory)
	os.Exit(suite.Run())
}

// usualSeeds is a fixed few hundred, which take about a minute on eight cores. A
// world runs one thread at a time, so that the race detector has nothing to see in
// it; it keeps a shadow for each coroutine and runs out of memory.
const usualSeeds = 240

func seeds(t *testing.T, usual uint64) (first, count uint64) {
	count = usual
	if asked, err := strconv.ParseUint(os.Getenv("SEAMLOOM_SEEDS"), 10, 32); err == nil {
		count = asked
	}
	if asked, err := strconv.ParseUint(os.Getenv("SEAMLOOM_FIRST"), 10, 32); err == nil {
		first = asked
	}
	return first, count
}

// TestDaysInVirtualTime runs a fixed few hundred seeds of both deployments, and
// wants each encounter that the brief's rules are about to have occurred.
func TestDaysInVirtualTime(t *testing.T) {
	first, count := seeds(t, usualSeeds)
	counter := (&Campaign{First: first, Count: count, Day: DefaultDay()}).Run(func(seed uint64, result Result) {
		if result.Failed() {
			t.Errorf("seed %d, whole %v\n%s", seed, result.Restored, result.Verdict)
		}
	})
	t.Logf("%d days, %d replies, complete %.3f, lowest %.3f, temptations %v", counter.Days, counter.Replies,
		counter.Share, counter.Lowest, counter.Encounters)
	if count < 200 {
		return
	}
	for _, what := range RequiredEncounters {
		if counter.Encounters[what] == 0 {
			t.Errorf("never occurred: %s", what)
		}
	}
	if counter.Share < 0.75 {
		t.Errorf("only %.3f of the replies are complete", counter.Share)
	}
}

// TestSameSeedSameTrace wants the same seed to give the same day, step by step.
func TestSameSeedSameTrace(t *testing.T) {
	for seed := range uint64(6) {
		var lines [2][]string
		var traces [2]string
		for run := range 2 {
			w := New(fleet.Sahil(), seed)
			w.Log = func(line string) { lines[run] = append(lines[run], line) }
			w.Run(DefaultDay())
			traces[run] = w.Trace()
		}
		if traces[0] == traces[1] {
			continue
		}
		for position := range lines[0] {
			if position >= len(lines[1]) || lines[0][position] != lines[1][position] {
				t.Errorf("seed %d parts at\n%s\n%s", seed, lines[0][position], lines[1][min(position, len(lines[1])-1)])
				break
			}
		}
		t.Fatalf("seed %d gave two traces of %d and %d lines", seed, len(lines[0]), len(lines[1]))
	}
}

// TestFirstCoreForms disturbs the first core while it forms, one disk's loss
// included, and wants one core, whole, that takes changes, without an operator.
func TestFirstCoreForms(t *testing.T) {
	day := DefaultDay()
	day.Faulty, day.Forming = time.Second, true
	first, count := seeds(t, usualSeeds/4)
	counter := (&Campaign{First: first, Count: count, Day: day}).Run(func(seed uint64, result Result) {
		if result.Failed() {
			t.Errorf("seed %d, whole %v, two at once %d\n%s", seed, result.Restored, result.TwoPrimaries, result.Verdict)
		}
	})
	t.Logf("%d days, temptations %v", counter.Days, counter.Encounters)
}

// TestRepairMakesEveryCopyWhole brings about each loss, with reads and with the
// sweep alone, and wants every copy whole without an operator's repair. The times
// are in docs/measurements.md.
func TestRepairMakesEveryCopyWhole(t *testing.T) {
	for _, loss := range Losses {
		for _, reads := range []bool{true, false} {
			took, bytes, mended := New(fleet.Sahil(), 11).Repair(loss, reads)
			t.Logf("%s, reads %v: whole after %s, %d bytes of snapshots", loss, reads, took, bytes)
			// A whole copy has about 12 kB here; a handful of them mends anything.
			if !mended || took > 15*time.Second || bytes > 100_000 {
				t.Errorf("%s, reads %v: mended %v after %s, with %d bytes", loss, reads, mended, took, bytes)
			}
		}
	}
}
