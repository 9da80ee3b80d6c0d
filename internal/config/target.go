package config

// Target is what a route does: the zones whose servers may be used (none
// named means all), whether the router's own zone is preferred, or that
// the request is refused.
type Target struct {
	Zones     []string
	HomeFirst bool
	Refuse    bool
}
