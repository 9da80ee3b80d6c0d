package config

// Facts are what a tasting knows of the fleet as it is.
type Facts struct {
	// Servers are listed by the platform, with their pressure where they told.
	Servers []ServerFacts
	// Restricted are the members that lack an enabled flag, Stopped those that
	// do not run, and Routers all that are recorded.
	Restricted []string
	Stopped    []string
	Routers    int
	// Blocked are the flags that wait for members.
	Blocked []string
}

// ServerFacts is one server in the facts.
type ServerFacts struct {
	Name     string
	Zone     string
	Leaving  bool
	Reported bool
	Part     string
	Active   int
	Slots    int
}
