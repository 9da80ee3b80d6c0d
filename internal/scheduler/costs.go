package scheduler

// costs turn into milliseconds what a way costs beside its time. They were tuned in
// the package's simulated world.
type costs struct {
	// crossingKilobyte is for a body that goes to another zone, by size.
	crossingKilobyte float64
	// moveThousand is for a prompt's memory that is moved, by thousand tokens; between
	// zones it costs moveFar times as much.
	moveThousand float64
	moveFar      float64
	// again is for a thousand shared tokens that another server has read.
	again float64
	// second is for a request more.
	second float64
	// lastTry is for a read before the only run that a call may have; wasted is for a
	// thousand tokens that were read for nothing.
	lastTry float64
	wasted  float64
	// refusal is what it costs to send a call that never ran away with the word to come
	// back: a run that harms others more than that is not sent after a try failed.
	refusal float64
	// stuck is for each millisecond that nothing has come from a server for too long.
	stuck float64
	// distrust, outlier and cold are for servers that failed this router or others, or are
	// cold.
	distrust float64
	outlier  float64
	cold     float64
	// pauseHarm is what each other call loses when reading holds its tokens up for as long
	// as its route allows.
	pauseHarm float64
	// connection is for a server to which a new connection has to be opened.
	connection float64
	// spread is how far apart equal servers are set.
	spread float64
	// home and next are how surely the first and second reader of a chain are
	// believed to keep it.
	home float64
	next float64
	// runner is how surely the runner beside a chain's first reader keeps it, and
	// awayThousand what a run elsewhere costs, by thousand shared tokens.
	runner       float64
	awayThousand float64
}

func standardCosts() costs {
	return costs{crossingKilobyte: 4, moveThousand: 1.2, moveFar: 2.5, again: 225, second: 10, lastTry: 60, wasted: 10, refusal: 2000, stuck: 3, distrust: 2000, outlier: 1000, cold: 60,
		pauseHarm: 60, connection: 15, spread: 4, home: 0.8, next: 0.5, runner: 0.5, awayThousand: 3}
}
