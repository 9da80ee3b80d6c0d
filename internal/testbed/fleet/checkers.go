package fleet

import "time"

// The limits that the checkers apply to the rules that a fleet must never break.
const (
	// leavingLimit is how long a leaving server may still get new work.
	leavingLimit = 3 * time.Second
	// evacuateLimit is how long the servers of an evacuated zone may still get new work.
	evacuateLimit = 5 * time.Second
	// inForceLimit is how long a router may show an older revision than the accepted one.
	inForceLimit = 2 * time.Second
	// commandGapLimit is the shortest allowed time between a command of one node to a server and the
	// next command of another node to the same server.
	commandGapLimit = 3 * time.Second
	// returnLimit is how long service may take to return after a closing fault.
	returnLimit = 12 * time.Second
	// retryShare is the allowed ratio of extra dispatches (retries) to first dispatches.
	retryShare = 0.2
	// warmupSpan is the age until which a server may have at most warmupDepth requests at the same
	// time.
	warmupSpan  = 2 * time.Second
	warmupDepth = 8
)

// checkers holds all checkers. They read only the entries that stand-ins, clients, operators
// and the test recorded.
var checkers = []func([]Entry) Finding{
	checkSecondRun, checkRefusedNeverRuns, checkReplies, checkMemory, checkLeaving, checkEvacuated, checkInForce, checkNeverBack,
	checkRefusedRevisions, checkReads, checkRetries, checkWarmup, checkCommands, checkFormats, checkReturn, checkQueueTime,
}
