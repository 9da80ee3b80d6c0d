package auction

// DecisionKind names a sort of decision.
type DecisionKind string

// The kinds of decision.
const (
	ClaimRequest    DecisionKind = "claim"
	DispatchPrefill DecisionKind = "prefill"
	DispatchDecode  DecisionKind = "decode"
	SendChunk       DecisionKind = "send_piece"
	Finish          DecisionKind = "finish"
	Cancel          DecisionKind = "cancel"
	SubmitOrders    DecisionKind = "give_orders"
	CommandServer   DecisionKind = "command"
	RecordPair      DecisionKind = "note_pair"
	RecordRetry     DecisionKind = "note_retry"
	ForwardToPeer   DecisionKind = "pass_on"
	// CallDecided is what is next with an opaque call.
	CallDecided DecisionKind = "call"
)
