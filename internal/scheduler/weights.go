package scheduler

// weights are the costs, in milliseconds, that a candidate has in addition to its latency, and the
// factors and likelihoods that determine them.
type weights struct {
	// crossZonePerKilobyte is the cost of a kilobyte of a request body that is sent to another zone.
	crossZonePerKilobyte float64
	// transferPerThousand is the cost of transferring the KV cache of a thousand prompt tokens.
	// Between zones it is multiplied by crossZoneTransferFactor.
	transferPerThousand     float64
	crossZoneTransferFactor float64
	// rereadPerThousand is the cost of reading a thousand tokens of a shared prefix once more.
	rereadPerThousand float64
	// extraRequest is the cost of the second request of a call that is split into prefill and run.
	extraRequest float64
	// lastAttempt is the cost, while KV cache transfers are failing, of a prefill for a call with only one
	// attempt left: if the transfer fails, too, the call is lost (see transferRisk).
	lastAttempt float64
	// wastedPerThousand is the cost, for a thousand prompt tokens, of not using a completed prefill.
	wastedPerThousand float64
	// refusal is the cost of refusing a call that never ran. A retry that costs more (see maxRetryCost)
	// would harm other calls more than it helps this one, and is not sent.
	refusal float64
	// stallPerMillisecond is the cost of each millisecond for which a server has been stalled. The cost of
	// a stall is at most unhealthy.
	stallPerMillisecond float64
	// unhealthy is the cost of a server that failed this router's calls or KV cache transfers, or whose
	// load reports are stale.
	unhealthy float64
	// outlier is the cost of a server that failed other routers' calls.
	outlier float64
	// warming is the cost of a server in slow start.
	warming float64
	// stalledCall is the cost of each other call whose tokens a prefill stalls for as long as
	// gapBudget.
	stalledCall float64
	// connection is the cost of opening a new connection to a server.
	connection float64
	// tieBreak is the maximum cost that distinguishes otherwise equal servers.
	tieBreak float64
	// homePrefill, nextPrefill and homeDecode are not costs but likelihoods, from 0 to 1, that a home
	// server of a chain (see findHomes) has the chain's prefix cached: the first and the second prefill
	// server and the decode server.
	homePrefill float64
	nextPrefill float64
	homeDecode  float64
	// awayFromHomePerThousand is the cost, for a thousand shared tokens, of a run at another decode
	// server than the chain's home.
	awayFromHomePerThousand float64
}

// defaultWeights returns the weights that each scheduler starts with. Only tests change them.
func defaultWeights() weights {
	return weights{
		crossZonePerKilobyte:    4,
		transferPerThousand:     1.2,
		crossZoneTransferFactor: 2.5,
		rereadPerThousand:       225,
		extraRequest:            10,
		lastAttempt:             60,
		wastedPerThousand:       10,
		refusal:                 2000,
		stallPerMillisecond:     3,
		unhealthy:               2000,
		outlier:                 1000,
		warming:                 60,
		stalledCall:             60,
		connection:              15,
		tieBreak:                4,
		homePrefill:             0.8,
		nextPrefill:             0.5,
		homeDecode:              0.5,
		awayFromHomePerThousand: 3,
	}
}
