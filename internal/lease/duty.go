package lease

// Role is one key that one node has at a time, with the fence of its hold.
type Role struct {
	Key          string `msgpack:"key" json:"key"`
	Holder       string `msgpack:"holder" json:"holder"`
	FencingToken uint64 `msgpack:"fence" json:"fence"`
}

// PartsKey is the duty that decides which servers take which part.
const PartsKey = "parts"

// ServerKey is the duty of commanding one server.
func ServerKey(server string) string { return "server/" + server }
