package lease

// Duty is one key that one node has at a time, with the fence of its hold.
type Duty struct {
	Key    string `msgpack:"key" json:"key"`
	Holder string `msgpack:"holder" json:"holder"`
	Fence  uint64 `msgpack:"fence" json:"fence"`
}

// PartsKey is the duty that decides which servers take which part.
const PartsKey = "parts"

// ServerKey is the duty of commanding one server.
func ServerKey(server string) string { return "server/" + server }
