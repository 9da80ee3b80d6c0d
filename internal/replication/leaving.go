package replication

import (
	"slices"
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// Time-outs and limits of a controller that is leaving.
const (
	// handoverTimeout is how long a leaving controller waits, once the remaining controllers no longer
	// need it, for another controller to take over its replica or its place as a witness. After that it
	// stops without a handover.
	handoverTimeout = time.Second
	// maxUnansweredAnnouncements is the number of consecutive announcements without a response from any
	// controller that stays after which the controllers that don't respond count as gone.
	maxUnansweredAnnouncements = 4
	// peerMemory is how long this controller remembers a controller that does not respond, counted
	// from the last hello received from it. In this time it still sends hellos to that controller and,
	// when leaving, still counts it as staying.
	peerMemory = time.Minute
	// commitTimeout is how long a primary without a successor waits for the batch in flight.
	commitTimeout = 400 * time.Millisecond
)

// LeaveOutcome is the reason why a leaving controller may stop, or StillNeeded.
type LeaveOutcome string

// The outcomes of leaving. In every case the disk keeps all acknowledged changes that it has.
const (
	// StillNeeded: the controller leads, or has a replica or a place as a witness that another may
	// still take over.
	StillNeeded LeaveOutcome = ""
	// HandedOver: the membership no longer names the controller.
	HandedOver LeaveOutcome = "handed_over"
	// NoReplacement: the remaining controllers have all data of this one, and no replacement
	// appeared within handoverTimeout.
	NoReplacement LeaveOutcome = "no_replacement"
	// NoOtherStays: all other controllers are leaving, too, or are gone.
	NoOtherStays LeaveOutcome = "nobody_stays"
)

// departure is the progress of a controller that is leaving; the coordinator's mutex guards it.
type departure struct {
	began bool
	// announcements counts the rounds of AnnounceLeave. unanswered counts the rounds since the last
	// one in which a controller that stays responded.
	announcements, unanswered int
	// unneededSince is the time since which the remaining controllers have not needed this one (see
	// LeaveOutcome), or zero while they need it. aloneSince is when this controller, as primary with a
	// change pending, first found that no other controller stays; it is never reset.
	unneededSince, aloneSince time.Time
}

// Leave begins the graceful shutdown of this controller: from now on the controller hands over its
// leadership, its replica and its place as a witness, and tries to become primary only while no other
// controller can. Leave itself only notifies the primary. docs/design/control-safety.md, point 3.
func (c *Coordinator) Leave() {
	c.mutex.Lock()
	c.departure.began = true
	c.mutex.Unlock()
	primary := c.Membership().Primary
	if primary.Empty() || primary.Identity == c.witness.Replica().Identity {
		return
	}
	if hello, err := c.peers.Hello(c.Address(primary), c.OwnHello()); err == nil {
		c.recordHello(hello, true)
	}
}

func (c *Coordinator) isLeaving() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.departure.began
}

// AnnounceLeave notifies all known controllers that this one is leaving, and learns which of them
// stay. Without these announcements a controller that follows the primary, and sends hellos only to
// the primary, would not learn that the others are leaving, too. AnnounceLeave must be called repeatedly until LeaveOutcome
// returns an outcome other than StillNeeded.
func (c *Coordinator) AnnounceLeave() {
	own := c.OwnHello()
	replicas := c.helloTargets(own.Replica.Address, c.allMemberAddresses())
	stays := false
	gatherWithin(c.runtime, helloTimeout, replicas, func(replica Replica) (Hello, error) {
		hello, err := c.peers.Hello(replica.Address, own)
		if err == nil {
			c.recordHello(hello, true)
		}
		return hello, err
	}, func(_ Replica, hello Hello, err error) {
		stays = stays || err == nil && hello.Kind == membership.Controller && !hello.Replica.Empty() && !hello.Leaving
	}, func() bool { return false })
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.departure.announcements++
	c.departure.unanswered++
	if stays {
		c.departure.unanswered = 0
	}
}

func (c *Coordinator) allMemberAddresses() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return slices.Clone(c.memberAddresses)
}

// ReadyToStop reports whether this controller, which is leaving, may stop.
func (c *Coordinator) ReadyToStop() bool { return c.LeaveOutcome() != StillNeeded }

// LeaveOutcome returns the reason why this controller, which is leaving, may stop, or StillNeeded.
//
// Invariant: the controller stops without a handover only when a handover would gain nothing. Either no
// remaining controller could take over anything, or the remaining ones have all of its data. In
// both cases its disk keeps all acknowledged changes that it has, and the next process on that disk
// finds the membership that names it.
func (c *Coordinator) LeaveOutcome() LeaveOutcome {
	own, m := c.witness.Replica().Identity, c.Membership()
	leads := c.store.Leading()
	if !leads && !m.InSync(own) && !m.HasVoter(own) {
		return HandedOver
	}
	if c.noOtherStays(m) {
		if leads && c.store.HasPending() && !c.elapsed(&c.departure.aloneSince, commitTimeout) {
			return StillNeeded
		}
		return NoOtherStays
	}
	unneeded := !leads && len(m.Incoming) == 0 && !c.voteNeeded(m)
	if m.InSync(own) {
		unneeded = unneeded && c.otherReplicaStays(m) && !c.replacementAvailable(m)
	}
	if !unneeded {
		c.mutex.Lock()
		c.departure.unneededSince = time.Time{}
		c.mutex.Unlock()
		return StillNeeded
	}
	if !c.elapsed(&c.departure.unneededSince, handoverTimeout) {
		return StillNeeded
	}
	return NoReplacement
}

// elapsed sets since to the present time if it is zero, and reports whether the given time has
// passed since then.
func (c *Coordinator) elapsed(since *time.Time, duration time.Duration) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.runtime.Now()
	if since.IsZero() {
		*since = now
	}
	return now.Sub(*since) >= duration
}

// noOtherStays reports whether all other controllers are leaving or gone. Controllers that don't
// respond count as gone after maxUnansweredAnnouncements consecutive announcements without a response
// from a controller that stays.
func (c *Coordinator) noOtherStays(m Membership) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.departure.announcements == 0 {
		return false
	}
	if c.departure.unanswered >= maxUnansweredAnnouncements {
		return true
	}
	own, now := c.witness.Replica().Identity, c.runtime.Now()
	for _, status := range c.peerStatuses {
		isController := status.hello.Kind == membership.Controller
		if isController && !status.hello.Leaving && now.Sub(status.lastSeen) < peerMemory && !c.superseded(status) {
			return false
		}
	}
	for _, replica := range append(m.Voters(), m.InSyncReplicas()...) {
		if _, heard := c.peerStatuses[replica.Identity]; !heard && replica.Identity != own {
			return false
		}
	}
	return true
}

// voteNeeded reports whether the witnesses that stay are no majority without this controller, and
// another witness neither responds nor has announced that it is leaving. Until that witness returns, no
// primary can be elected without the vote of this controller.
func (c *Coordinator) voteNeeded(m Membership) bool {
	own := c.witness.Replica().Identity
	if !m.HasVoter(own) {
		return false
	}
	staying := map[Identity]bool{}
	silent := false
	for _, replica := range m.Voters() {
		if replica.Identity == own {
			continue
		}
		hello, alive := c.alive(replica.Identity, responseFreshness)
		switch {
		case alive && !hello.Leaving:
			staying[replica.Identity] = true
		case !alive && !c.announcedLeaving(replica.Identity):
			silent = true
		}
	}
	return silent && !m.HasQuorum(staying)
}

// announcedLeaving reports whether the controller's last hello said that it is leaving.
func (c *Coordinator) announcedLeaving(identity Identity) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	status, heard := c.peerStatuses[identity]
	return heard && status.hello.Leaving
}

// otherReplicaStays reports whether another replica in sync, which has every acknowledged change,
// stays.
func (c *Coordinator) otherReplicaStays(m Membership) bool {
	for _, replica := range m.InSyncReplicas() {
		if hello, alive := c.alive(replica.Identity, responseFreshness); alive && !hello.Leaving && hello.Damage == "" {
			return true
		}
	}
	return false
}

// replacementAvailable reports whether a remaining controller could become a replica in sync in
// place of this one.
func (c *Coordinator) replacementAvailable(m Membership) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.runtime.Now()
	for identity, status := range c.peerStatuses {
		able := status.hello.Kind == membership.Controller && !status.hello.Leaving && !m.InSync(identity)
		if able && now.Sub(status.lastResponse) < responseFreshness {
			return true
		}
	}
	return false
}
