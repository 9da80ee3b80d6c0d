package wire

// RelayRequest asks a neighbour to pass a message to the primary.
type RelayRequest struct {
	Path string `msgpack:"path"`
	Body []byte `msgpack:"body"`
}
