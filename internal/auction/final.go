package auction

// Final is how a reply ends.
type Final string

// The ways in which a reply ends. Refused means that the request never ran and
// never will; Unknown that this can't be known.
const (
	Complete Final = "complete"
	Refused  Final = "refused"
	Failed   Final = "failed"
	Unknown  Final = "unknown"
)
