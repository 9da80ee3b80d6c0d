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
	GiveOrders      DecisionKind = "give_orders"
	Command         DecisionKind = "command"
	NotePair        DecisionKind = "note_pair"
	NoteRetry       DecisionKind = "note_retry"
	PassOn          DecisionKind = "pass_on"
	// CallDecided is what is next with an opaque call.
	CallDecided DecisionKind = "call"
)
