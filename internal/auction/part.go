package auction

// Part is what a model server does.
type Part string

// The parts.
const (
	NoPart  Part = ""
	Prefill Part = "prefill"
	Decode  Part = "decode"
	Drain   Part = "drain"
)
