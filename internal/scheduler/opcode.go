package scheduler

// opcode is one instruction of a compiled route.
type opcode uint8

const (
	// needPrefix goes on to the next route when the path begins otherwise.
	needPrefix opcode = iota
	// actSend has the one service serve the call, actShare the service that the
	// call's id falls to, actRefuse none.
	actSend
	actShare
	actRefuse
)
