package daemon

import "runtime/debug"

// LimitMemory sets the garbage collector's soft memory limit for a process that may use the given number
// of megabytes; zero sets no limit. The soft limit is three quarters of that number: the rest is reserved
// for memory that the collector does not manage, such as the kernel's buffers.
func LimitMemory(megabytes int) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(megabytes) << 20 / 4 * 3)
	}
}

// gcPercent is how far a controller's heap may grow beyond its live data before the next collection, in
// percent of the live data.
const gcPercent = 300

// ReduceGCFrequency makes the garbage collector run about a third as often as by default, because the live heap
// of a primary is small compared with the many short-lived responses that it allocates. The parameter is the
// limit that was passed to LimitMemory. A process without a limit (zero) keeps the default, because nothing would
// stop its heap from growing to four times its live data.
func ReduceGCFrequency(megabytes int) {
	if megabytes > 0 {
		debug.SetGCPercent(gcPercent)
	}
}
