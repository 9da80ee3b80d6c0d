package capacity

import (
	"os"
	"runtime"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// Cost is what one operation cost on average.
type Cost struct {
	Processor   time.Duration
	Allocations float64
	Bytes       float64
	Wall        time.Duration
}

// leastMeasured is how much processor time a measurement takes at least.
const leastMeasured = 25 * time.Millisecond

// Meter measures operations by the processor time of one thread. The collector's
// own threads are not in it; what the operation allocates is told beside it.
type Meter struct {
	// Least is how much processor time a measurement takes at least.
	Least time.Duration
	// Most is how many times an operation is done at most.
	Most int
}

// Measure does an operation over and over in a thread of its own and gives what one
// cost. It is told how many times it was done before.
//
// Example:
//
//	cost := capacity.Meter{}.Measure(func(number int) { market.Choose(...) })
func (meter Meter) Measure(operation func(number int)) Cost {
	least, most := meter.Least, meter.Most
	if least <= 0 {
		least = leastMeasured
	}
	if most <= 0 {
		most = 1 << 20
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	operation(0)
	done := 1
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	began, used := time.Now(), threadTime()
	first := done
	for batch := 1; done < most && threadTime()-used < least; batch *= 2 {
		for range min(batch, most-done) {
			operation(done)
			done++
		}
	}
	took := threadTime() - used
	wall := time.Since(began)
	runtime.ReadMemStats(&after)
	count := float64(max(done-first, 1))
	return Cost{Processor: time.Duration(float64(took) / count), Allocations: float64(after.Mallocs-before.Mallocs) / count,
		Bytes: float64(after.TotalAlloc-before.TotalAlloc) / count, Wall: time.Duration(float64(wall) / count)}
}

// threadTime is the processor time of this thread.
func threadTime() time.Duration { return usage(unix.RUSAGE_THREAD) }

// processTime is the processor time of this process.
func processTime() time.Duration { return usage(unix.RUSAGE_SELF) }

func usage(who int) time.Duration {
	var used unix.Rusage
	if err := unix.Getrusage(who, &used); err != nil {
		panic("capacity: " + err.Error())
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

// heap is the memory in use after a collection.
func heap() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// machineLoad is the machine's one-minute mean of runnable threads for each core.
func machineLoad() float64 {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	mean, _ := strconv.ParseFloat(strings.Fields(string(text))[0], 64)
	return mean / float64(runtime.NumCPU())
}
