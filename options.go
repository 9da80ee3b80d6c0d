package seamloom

import "seamloom.example/seamloom/internal/scheduler"

// Options say which courier a core decides for.
type Options struct {
	// Router is the node's name, and District the zone that it serves first.
	Router string
	Zone   string
	// MostRequests bounds the inquiries that are let in at once.
	MostRequests int
	// Supported is the build's list of flags.
	Supported FlagList
	// LeastLoaded replaces the market by a plain least-loaded choice.
	LeastLoaded bool
	// FixedParts leaves every server the part that it was given first.
	FixedParts bool
	// FurtherTries bounds what all couriers send beyond the first dispatch of each
	// opaque call; what is left out is scheduler.DefaultAllowance.
	FurtherTries scheduler.Allowance
}

// DefaultMostRequests is how many inquiries a courier lets in at once.
const DefaultMostRequests = 512
