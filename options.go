package seamloom

// Options say which router a core decides for.
type Options struct {
	// Router is the router's name in the fleet. It seeds how the core spreads its choices,
	// so that routers with the same view do not all choose the same server.
	Router string
	// Zone is the router's own zone, which routes may prefer.
	Zone string
	// MaxRequests bounds the requests in flight, without opaque calls; beyond it they are
	// refused as busy. Zero means DefaultMaxRequests.
	MaxRequests int
	// Supported are the feature flags that this build supports.
	Supported FlagList
	// LeastLoaded replaces the auction by a plain least-loaded choice, for comparison.
	LeastLoaded bool
	// FixedRoles leaves every server the role that it was given first, for comparison.
	FixedRoles bool
	// StoredConfiguration gives the configuration that a stored text stands for, where earlier
	// releases of the program stored it otherwise; nil: the text itself. A text that it refuses
	// is not put in force.
	StoredConfiguration func(text []byte) ([]byte, error)
	// Retries bounds what all routers send beyond the first dispatch of each opaque call;
	// fields that are left out are those of scheduler.DefaultRetryAllowance.
	Retries RetryAllowance
}

// DefaultMaxRequests is how many requests a router has in flight at most by default.
const DefaultMaxRequests = 512
