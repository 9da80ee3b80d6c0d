package scheduler

// weights turn into milliseconds what a candidate costs beside its latency. They were tuned
// in the package's simulated world.
type weights struct {
	// crossingKilobyte is for a kilobyte of a body that goes to another zone.
	crossingKilobyte float64
	// transferThousand is for a thousand prompt tokens whose KV cache is transferred; between
	// zones it costs transferFar times as much.
	transferThousand float64
	transferFar      float64
	// rereadThousand is for a thousand tokens of a shared prefix that has to be read once
	// more.
	rereadThousand float64
	// extraRequest is for the second request of a call that is split.
	extraRequest float64
	// lastAttempt is for a prefill before the only run that a call may still have.
	lastAttempt float64
	// wastedThousand is for a thousand tokens that a prefill server read for nothing.
	wastedThousand float64
	// refusal is for refusing a call that never ran: a retry that harms others more than
	// that is not sent.
	refusal float64
	// stalled is for each millisecond that a server has produced nothing for too long.
	stalled float64
	// unhealthy is for a server that failed this router, outlier for one that failed others,
	// warming for one that is in slow start.
	unhealthy float64
	outlier   float64
	warming   float64
	// gapHarm is for each other call whose tokens a prefill stalls for as long as gapBudget.
	gapHarm float64
	// connection is for a server to which a new connection has to be opened.
	connection float64
	// tieBreak is how far apart equal servers are set.
	tieBreak float64
	// homePrefill, nextPrefill and homeDecode are no costs but likelihoods, from 0 to 1,
	// that a home server of a chain has its prefix cached.
	homePrefill float64
	nextPrefill float64
	homeDecode  float64
	// awayThousand is for a thousand shared tokens of a run away from the home decode server.
	awayThousand float64
}

func defaultWeights() weights {
	return weights{
		crossingKilobyte: 4,
		transferThousand: 1.2,
		transferFar:      2.5,
		rereadThousand:   225,
		extraRequest:     10,
		lastAttempt:      60,
		wastedThousand:   10,
		refusal:          2000,
		stalled:          3,
		unhealthy:        2000,
		outlier:          1000,
		warming:          60,
		gapHarm:          60,
		connection:       15,
		tieBreak:         4,
		homePrefill:      0.8,
		nextPrefill:      0.5,
		homeDecode:       0.5,
		awayThousand:     3,
	}
}
