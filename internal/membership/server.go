package membership

import "time"

// Server is a model server as the platform lists it.
type Server struct {
	Name    string `json:"name" msgpack:"name"`
	Address string `json:"address" msgpack:"address"`
	Zone    string `json:"district" msgpack:"district"`
	Leaving bool   `json:"leaving" msgpack:"leaving"`
	// Service is the service that the server works for; empty: for all.
	Service string `json:"service,omitempty" msgpack:"service,omitempty"`
	// Part is what the list says that the server does: prefill or decode.
	Part string `json:"part,omitempty" msgpack:"part,omitempty"`
	// Models are the weights that it has.
	Models []string `json:"models,omitempty" msgpack:"models,omitempty"`
	// Slots is how many requests it works on at once; zero: unknown.
	Slots int `json:"slots,omitempty" msgpack:"slots,omitempty"`
	// Warming is how much longer it stays cold, when the list was read.
	Warming time.Duration `json:"warming,omitempty" msgpack:"warming,omitempty"`
}
