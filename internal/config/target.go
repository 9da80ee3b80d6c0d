package config

// Target is what a route does: the districts whose servers may be used (none
// named means all), whether the courier's own district is preferred, or that
// the inquiry is refused.
type Target struct {
	Zones     []string
	HomeFirst bool
	Refuse    bool
}
