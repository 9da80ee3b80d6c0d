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

// memoryLimit is the soft limit for the garbage collector, which otherwise runs rarely. Without the
// limit the package took 14 GB on a machine with other work and was killed for lack of memory.
const memoryLimit = 4 << 30

// TestMain makes the garbage collector run rarely: a world is short-lived and becomes garbage as a
// whole.
func TestMain(suite *testing.M) {
	debug.SetGCPercent(400)
	debug.SetMemoryLimit(memoryLimit)
	os.Exit(suite.Run())
}

// defaultSeeds is the default number of days, which take about a minute on eight cores. The tests of
// days are not built with the race detector: a world runs one thread at a time, so that there
// are no races to find, and the detector's state for each coroutine exhausts the memory.
const defaultSeeds = 240

// seeds returns the first seed and the number of seeds: 0 and usual, unless the environment variables
// SEAMLOOM_FIRST and SEAMLOOM_SEEDS override them.
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

// TestDaysInVirtualTime runs days with seeds of both deployments. It checks that no day breaks a
// rule and that each required encounter occurred.
func TestDaysInVirtualTime(t *testing.T) {
	first, count := seeds(t, defaultSeeds)
	counter := (&Campaign{First: first, Count: count, Day: DefaultDay()}).Run(func(seed uint64, result Result) {
		if result.Failed() {
			t.Errorf("seed %d: core restored: %v\n%s", seed, result.Restored, result.Verdict)
		}
	})
	t.Logf("%d days, %d replies, complete %.3f, lowest %.3f, encounters %v", counter.Days, counter.Replies,
		counter.Share, counter.Lowest, counter.Encounters)
	if count < 200 {
		return
	}
	for _, situation := range RequiredEncounters {
		if counter.Encounters[situation] == 0 {
			t.Errorf("encounter %q never occurred", situation)
		}
	}
	if counter.Share < 0.75 {
		t.Errorf("got %.3f as the share of complete replies, want at least 0.75", counter.Share)
	}
}

// TestSameSeedSameTrace checks that the same seed gives the same trace, line by line.
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
				t.Errorf("seed %d: the traces differ from here on:\n%s\n%s", seed, lines[0][position],
					lines[1][min(position, len(lines[1])-1)])
				break
			}
		}
		t.Fatalf("seed %d: two runs gave different traces of %d and %d lines", seed, len(lines[0]), len(lines[1]))
	}
}

// TestFirstCoreForms disturbs the first core while it forms, in some days by the loss of a disk,
// and checks that one complete core forms without an operator and that no rule is broken.
func TestFirstCoreForms(t *testing.T) {
	day := DefaultDay()
	day.Faulty, day.Forming = time.Second, true
	first, count := seeds(t, defaultSeeds/4)
	counter := (&Campaign{First: first, Count: count, Day: day}).Run(func(seed uint64, result Result) {
		if result.Failed() {
			t.Errorf("seed %d: core restored: %v, observations of two primaries: %d\n%s",
				seed, result.Restored, result.TwoPrimaries, result.Verdict)
		}
	})
	t.Logf("%d days, encounters %v", counter.Days, counter.Encounters)
}

// TestRepairCompletesEveryCopy injects each loss, with an operator's reads and without them, when
// only the periodic check of the copies finds the loss. It checks that every copy becomes
// complete without an operator's repair. The times are in docs/measurements.md.
func TestRepairCompletesEveryCopy(t *testing.T) {
	for _, loss := range Losses {
		for _, reads := range []bool{true, false} {
			took, bytes, repaired := New(fleet.Sahil(), 11).Repair(loss, reads)
			t.Logf("%s, reads %v: complete after %s, %d bytes of snapshots", loss, reads, took, bytes)
			// A complete copy has about 12 kB here, and a few copies suffice to repair any loss.
			if !repaired || took > 15*time.Second || bytes > 100_000 {
				t.Errorf("%s, reads %v: repaired %v after %s with %d bytes, want a repair within 15 s and 100000 bytes",
					loss, reads, repaired, took, bytes)
			}
		}
	}
}
