package fleet

import "time"

// The limits of "What must never happen", as the checkers hold them.
const (
	leavingLimit  = 3 * time.Second
	evacuateLimit = 5 * time.Second
	inForceLimit  = 2 * time.Second
	turnLimit     = 3 * time.Second
	returnLimit   = 12 * time.Second
	attemptsShare = 0.2
	warmupSpan    = 2 * time.Second
	warmupDepth   = 8
)

// The checkers read only what stand-ins and clients wrote down.
var checkers = []func([]Entry) Finding{
	checkSecondRun, checkRefusedNeverRuns, checkReplies, checkMemory, checkLeaving, checkEvacuated, checkInForce, checkNeverBack,
	checkRefusedRevisions, checkReads, checkAttempts, checkWarmup, checkCommands, checkFormats, checkReturn, checkQueueTime,
}
