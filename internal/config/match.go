package config

// Match is the condition of a route. An empty field matches everything.
type Match struct {
	Service             string
	District            string
	Origin              string
	Prefix              string
	PromptTokensAtLeast int
	PromptTokensBelow   int
	// Host and PathPrefix match opaque calls; of a host's routes the longest prefix
	// decides. A route has both or neither.
	Host       string
	PathPrefix string
}
