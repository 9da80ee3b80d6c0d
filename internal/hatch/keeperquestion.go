package hatch

import "seamloom.example/seamloom/internal/larder"

// keeperQuestion is any question to a keeper; To guards against another disk
// that has come to the same address.
type keeperQuestion struct {
	To      larder.Identity `msgpack:"to"`
	From    larder.Identity `msgpack:"from"`
	Epoch   uint64          `msgpack:"epoch"`
	Charter larder.Charter  `msgpack:"charter"`
}
