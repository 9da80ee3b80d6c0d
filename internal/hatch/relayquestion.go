package hatch

// RelayQuestion asks a neighbour to pass a message to the primary.
type RelayQuestion struct {
	Path string `msgpack:"path"`
	Body []byte `msgpack:"body"`
}
