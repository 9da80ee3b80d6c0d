package config

// Evacuation keeps work out of a district's servers until it is lifted.
type Evacuation struct {
	Zone   string
	Reason string
}
