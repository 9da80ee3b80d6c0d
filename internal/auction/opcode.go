package auction

// opcode is one step of a compiled route.
type opcode uint8

const (
	// needs skip to the next route when the request is otherwise.
	needZone opcode = iota
	needClient
	needPrefix
	needAtLeast
	needBelow
	// actions end the program.
	actRefuse
	actSend
)
