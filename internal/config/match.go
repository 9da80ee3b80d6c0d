package config

// Match is the condition of a route. An empty field matches everything.
type Match struct {
	Service             string
	Zone                string
	Client              string
	Prefix              string
	PromptTokensAtLeast int
	PromptTokensBelow   int
	// Host and PathPrefix match opaque calls; of a host's routes the longest prefix
	// decides. A route has both or neither.
	Host       string
	PathPrefix string
}
