package scheduler

// costs turn into milliseconds what a way costs beside its time. They were tuned in
// the package's simulated world.
type weights struct {
	// crossingKilobyte is for a body that goes to another zone, by size.
	crossingKilobyte float64
	// transferThousand is for a prompt's memory that is moved, by thousand tokens; between
	// zones it costs transferFar times as much.
	transferThousand float64
	transferFar      float64
	// again is for a thousand shared tokens that another server has read.
	rereadThousand float64
	// second is for a request more.
	extraRequest float64
	// lastAttempt is for a read before the only run that a call may have; wasted is for a
	// thousand tokens that were read for nothing.
	lastAttempt    float64
	wastedThousand float64
	// refusal is what it costs to send a call that never ran away with the word to come
	// back: a run that harms others more than that is not sent after a try failed.
	refusal float64
	// stuck is for each millisecond that nothing has come from a server for too long.
	stalled float64
	// distrust, outlier and cold are for servers that failed this router or others, or are
	// cold.
	unhealthy float64
	outlier   float64
	warming   float64
	// gapHarm is what each other call loses when reading holds its tokens up for as long
	// as its route allows.
	gapHarm float64
	// connection is for a server to which a new connection has to be opened.
	connection float64
	// spread is how far apart equal servers are set.
	tieBreak float64
	// home and next are how surely the first and second reader of a chain are
	// believed to keep it.
	homePrefill float64
	nextPrefill float64
	// runner is how surely the runner beside a chain's first reader keeps it, and
	// awayThousand what a run elsewhere costs, by thousand shared tokens.
	homeDecode   float64
	awayThousand float64
}

func defaultWeights() weights {
	return weights{crossingKilobyte: 4, transferThousand: 1.2, transferFar: 2.5, rereadThousand: 225, extraRequest: 10, lastAttempt: 60, wastedThousand: 10, refusal: 2000, stalled: 3, unhealthy: 2000, outlier: 1000, warming: 60,
		gapHarm: 60, connection: 15, tieBreak: 4, homePrefill: 0.8, nextPrefill: 0.5, homeDecode: 0.5, awayThousand: 3}
}
