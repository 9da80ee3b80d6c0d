package follower

import (
	"time"

	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/wire"
)

// copyStates holds the reports of the controllers that are not primary about their copies of the
// replicated sections, by the address of the controller.
type copyStates struct {
	reports map[string]reportedCopy
}

// reportedCopy is the state of a copy, the membership that its controller knows, and when both were
// reported.
type reportedCopy struct {
	at         time.Time
	membership replication.Membership
	state      wire.CopyState
}

// copyStateTTL is how long a report is used.
const copyStateTTL = time.Second

// record stores the state of a copy from a response. A response without a state deletes the previous
// report from the address.
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

// choose returns the version of the configuration that may be served before there is a primary, and the
// address of a copy that has this version. An acknowledged change is on every copy that the newest
// membership names, so the oldest configuration among those copies contains every change that was
// acknowledged under that membership. choose returns the version of this oldest configuration once each
// of the copies has reported or is lost and a quorum of the witnesses has reported: if a newer
// membership were in force, at least one witness of the quorum would know it.
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
				// Another disk has reported from this address, so the disk of the copy is lost.
				continue
			}
			return "", version, false
		}
		state := c.reports[addresses[replica.Identity]].state
		if state.Damaged {
			// A damaged copy cannot become primary and will be replaced.
			continue
		}
		if !found || state.Configuration.Before(version) {
			address, version, found = addresses[replica.Identity], state.Configuration, true
		}
	}
	// The version is zero if the oldest copy has no configuration yet.
	return address, version, found && version != (replication.Version{})
}
