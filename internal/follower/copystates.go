package follower

import (
	"time"

	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/wire"
)

// copies are what controllers that are not primary said of their copies, by address.
type copyStates struct {
	reports map[string]reportedCopy
}

type reportedCopy struct {
	at         time.Time
	membership replication.Membership
	state      wire.CopyState
}

// copyStateTTL is how long an answer counts.
const copyStateTTL = time.Second

// note takes an answer; one without word of a copy takes back what was said before.
func (c *copyStates) record(address string, at time.Time, response wire.UpdateResponse) {
	if response.Copy == nil {
		delete(c.reports, address)
		return
	}
	if c.reports == nil {
		c.reports = map[string]reportedCopy{}
	}
	c.reports[address] = reportedCopy{at: at, membership: response.Membership, state: *response.Copy}
}

// choose gives the configuration that may be served before there is a primary, and
// where it lies. What was acknowledged is on every copy that the newest membership names,
// so it takes the oldest among them, and only when each has spoken or is lost, and when
// a quorum of the keepers has told the membership.
func (c *copyStates) choose(now time.Time) (address string, version replication.Version, found bool) {
	var membership replication.Membership
	spoken := map[replication.Identity]bool{}
	at := map[replication.Identity]string{}
	for place, said := range c.reports {
		if now.Sub(said.at) > copyStateTTL {
			continue
		}
		if said.membership.Epoch > membership.Epoch {
			membership = said.membership
		}
		spoken[said.state.Identity], at[said.state.Identity] = true, place
	}
	if membership.Blank() || !membership.HasQuorum(spoken) {
		return "", version, false
	}
	for _, replica := range membership.InSyncReplicas() {
		if !spoken[replica.Identity] {
			if another, heard := c.reports[replica.Address]; heard && now.Sub(another.at) <= copyStateTTL {
				// Another disk is at its address: its own is lost.
				continue
			}
			return "", version, false
		}
		said := c.reports[at[replica.Identity]].state
		if said.Damaged {
			// It can't lead, and is replaced.
			continue
		}
		if !found || said.Configuration.Before(version) {
			address, version, found = at[replica.Identity], said.Configuration, true
		}
	}
	return address, version, found && version != (replication.Version{})
}
