package menu

// Match is the condition of a route. An empty field matches everything.
type Match struct {
	Service             string
	District            string
	Origin              string
	Prefix              string
	PromptTokensAtLeast int
	PromptTokensBelow   int
}
