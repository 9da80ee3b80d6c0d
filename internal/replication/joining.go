package replication

import "seamloom.example/seamloom/internal/membership"

// CoreWait is the reason why a controller is not part of a core yet.
type CoreWait string

// The reasons why a controller waits.
const (
	// CoreKnown: the controller knows a membership and waits for nothing.
	CoreKnown CoreWait = ""
	// SeedsSilent: no seed responds. The settings have to name another seed, or a seed has to
	// return.
	SeedsSilent CoreWait = "seeds_silent"
	// SeedsBlank: seeds respond, but none of them knows a core, and this controller must not form
	// one.
	SeedsBlank CoreWait = "seeds_blank"
	// FirstCore: the first core is formed once all three seeds respond.
	FirstCore CoreWait = "first_core"
)

// WaitingFor returns the reason why this controller is not part of a core yet, and the seeds that
// do not respond. A controller never forms a core except as the first of three blank seeds.
func (c *Coordinator) WaitingFor() (CoreWait, []string) {
	if !c.Membership().Blank() {
		return CoreKnown, nil
	}
	own := c.witness.Replica().Address
	c.mutex.Lock()
	defer c.mutex.Unlock()
	responding := map[string]bool{}
	for _, status := range c.peerStatuses {
		if status.hello.Kind == membership.Controller && c.runtime.Now().Sub(status.lastResponse) < peerFreshness {
			responding[status.hello.Replica.Address] = true
		}
	}
	var silent []string
	otherSeeds := 0
	for _, address := range c.seeds {
		if address == own {
			continue
		}
		otherSeeds++
		if !responding[address] {
			silent = append(silent, address)
		}
	}
	switch {
	case len(silent) == otherSeeds:
		return SeedsSilent, silent
	case c.joinOnly:
		return SeedsBlank, silent
	}
	return FirstCore, silent
}
