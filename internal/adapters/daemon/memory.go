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
