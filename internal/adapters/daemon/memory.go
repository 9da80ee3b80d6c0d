package daemon

import "runtime/debug"

// LimitMemory has the collector work harder as the process nears a limit, given in
// megabytes; nothing changes when it is zero. A quarter is left for what the
// collector does not see, such as stacks and the kernel's buffers.
func LimitMemory(megabytes int) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(megabytes) << 20 / 4 * 3)
	}
}

// collectorPercent is by how much of its live part the heap of a controller grows before it is collected.
const collectorPercent = 300

// CollectSeldom has the collector run a third as often where LimitMemory has set a limit: a primary makes
// many short-lived responses beside a small state.
func CollectSeldom(megabytes int) {
	if megabytes > 0 {
		debug.SetGCPercent(collectorPercent)
	}
}
