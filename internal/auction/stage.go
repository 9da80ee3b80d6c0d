package auction

// stage is where a request stands.
type phase uint8

const (
	claiming phase = iota
	// ready waits for a hold to dispatch its prefill under.
	readyToPrefill
	prefilling
	// handing waits for a hold to dispatch its decode under.
	readyToDecode
	decoding
)
