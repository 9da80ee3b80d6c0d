package window

import "time"

// Load is what a model server reported of itself, read for all couriers.
type Load struct {
	Server string `msgpack:"server"`
	// Part is prefill or decode; Changing that an order is being carried out; Orders
	// how many it took.
	Part     string `msgpack:"part"`
	Changing bool   `msgpack:"changing,omitempty"`
	Orders   uint64 `msgpack:"orders,omitempty"`
	// Waiting and Running are calls; MemoryUsed and MemoryTotal are tokens.
	Waiting     int `msgpack:"waiting"`
	Running     int `msgpack:"running"`
	MemoryUsed  int `msgpack:"memory_used"`
	MemoryTotal int `msgpack:"memory_total"`
	Handles     int `msgpack:"handles"`
	// Age is how old the report was when it was passed on.
	Age time.Duration `msgpack:"age"`
}
