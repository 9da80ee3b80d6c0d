package config

// Evacuation keeps work out of a zone's servers until it is lifted.
type Evacuation struct {
	Zone   string
	Reason string
}
