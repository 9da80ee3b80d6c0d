package scheduler

import "seamloom.example/seamloom/internal/membership"

// nameKey is the number that stands for a server's name in rendezvous.
func nameKey(name string) uint64 { return membership.Weight("window", name) }

// weigh is the rendezvous weight of a server for a chain: the same at every router.
func rendezvousWeight(chain, server uint64) uint64 {
	sum := chain*0x9e3779b97f4a7c15 ^ server
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	sum ^= sum >> 33
	sum *= 0xc4ceb9fe1a85ec53
	return sum ^ sum>>33
}

// chain is what a call's home goes by: the last part that it shares with others.
func (c *Call) chainKey() uint64 {
	switch length := len(c.Segments); length {
	case 0:
		return membership.Weight("call", c.ID)
	case 1:
		return c.Segments[0].ID
	default:
		return c.Segments[length-2].ID
	}
}

// shared are the tokens of the parts that other calls may have as well.
func (c *Call) sharedTokens() int {
	tokens := 0
	for position := 0; position < len(c.Segments)-1; position++ {
		tokens += c.Segments[position].Tokens
	}
	return tokens
}
