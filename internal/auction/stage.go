package auction

// stage is where a request stands.
type stage uint8

const (
	claiming stage = iota
	// ready waits for a hold to dispatch its prefill under.
	ready
	prefilling
	// handing waits for a hold to dispatch its decode under.
	handing
	decoding
)
