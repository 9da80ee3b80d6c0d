package auction

// FinalStatus is how a reply ends.
type FinalStatus string

// The ways in which a reply ends. Refused means that the request never ran and
// never will; Unknown that this can't be known.
const (
	Complete FinalStatus = "complete"
	Refused  FinalStatus = "refused"
	Failed   FinalStatus = "failed"
	Unknown  FinalStatus = "unknown"
)
