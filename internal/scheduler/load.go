package scheduler

import "time"

// Load is what a model server reported of itself, read for all routers.
type Load struct {
	Server string `json:"server" msgpack:"server"`
	// Role is prefill or decode; Changing that an order is being carried out; Orders
	// how many it took.
	Role         string `json:"part" msgpack:"part"`
	ChangingRole bool   `json:"changing,omitempty" msgpack:"changing,omitempty"`
	Orders       uint64 `json:"orders,omitempty" msgpack:"orders,omitempty"`
	// Waiting and Running are calls; MemoryUsed and MemoryTotal are tokens.
	Waiting     int `json:"waiting" msgpack:"waiting"`
	Running     int `json:"running" msgpack:"running"`
	MemoryUsed  int `json:"memory_used" msgpack:"memory_used"`
	MemoryTotal int `json:"memory_total" msgpack:"memory_total"`
	Handles     int `json:"handles" msgpack:"handles"`
	// Age is how old the report was when it was forwarded.
	Age time.Duration `json:"age" msgpack:"age"`
}
