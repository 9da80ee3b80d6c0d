package follower

import (
	"time"

	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/wire"
)

// copyStates are the states of the copies of controllers that are not primary, by address.
type copyStates struct {
	reports map[string]reportedCopy
}

type reportedCopy struct {
	at         time.Time
	membership replication.Membership
	state      wire.CopyState
}

// copyStateTTL is how long a report counts.
const copyStateTTL = time.Second

// record takes a response; one without the state of a copy withdraws the report before.
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

// choose gives the configuration that may be served before there is a primary, and the address
// of a copy that has it. An acknowledged change is on every copy that the newest membership
// names, so the oldest of their configurations has all that was acknowledged under that
// membership. It takes that one, once each copy has reported or is lost, and a quorum of the
// witnesses has reported too: no newer membership can be in force unknown to all of a quorum.
func (c *copyStates) choose(now time.Time) (address string, version replication.Version, found bool) {
	var membership replication.Membership
	reported := map[replication.Identity]bool{}
	addresses := map[replication.Identity]string{}
	for from, report := range c.reports {
		if now.Sub(report.at) > copyStateTTL {
			continue
		}
		if report.membership.Epoch > membership.Epoch {
			membership = report.membership
		}
		reported[report.state.Identity], addresses[report.state.Identity] = true, from
	}
	if membership.Blank() || !membership.HasQuorum(reported) {
		return "", version, false
	}
	for _, replica := range membership.InSyncReplicas() {
		if !reported[replica.Identity] {
			if other, known := c.reports[replica.Address]; known && now.Sub(other.at) <= copyStateTTL {
				// Another disk is at its address: its own is lost.
				continue
			}
			return "", version, false
		}
		state := c.reports[addresses[replica.Identity]].state
		if state.Damaged {
			// It can't lead, and is replaced.
			continue
		}
		if !found || state.Configuration.Before(version) {
			address, version, found = addresses[replica.Identity], state.Configuration, true
		}
	}
	return address, version, found && version != (replication.Version{})
}
