package controlplane

import (
	"time"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/replication"
)

// Connection describes the connection on which an operator's order arrived. ID is the number of the
// connection in this process; it is zero if another controller forwarded the order. SentAfter is a time
// of the monotonic clock after which the order must have been sent: the connection was opened then, or
// the previous response on it was ready. The zero value means that the connection is not known.
type Connection struct {
	ID        uint64
	SentAfter time.Time
}

// ZoneOrder evacuates a zone or restores it. An order contains only the wanted state of the zone and no
// version, so its content is the same in a new order and in an old one that the network delivers late.
// Only the Connection distinguishes them.
type ZoneOrder struct {
	Zone string
	// Evacuate is true to evacuate the zone, for the given Reason, and false to restore it.
	Evacuate   bool
	Reason     string
	Connection Connection
}

// Edit returns the edit of the configuration that carries out the order.
func (o ZoneOrder) Edit() Edit {
	apply := func(text []byte) ([]byte, error) { return config.EndEvacuation(text, o.Zone) }
	if o.Evacuate {
		apply = func(text []byte) ([]byte, error) { return config.Evacuate(text, o.Zone, o.Reason) }
	}
	return Edit{ValidatesItself: true, Order: &o, Apply: apply}
}

// zoneOrders detects the orders of one term that were sent before the last change of their zone.
//
// Invariant: an order that would change a zone is carried out only if it was sent after the last change
// of that zone, however long it was delayed. An order was sent after its connection was opened, and
// after the previous response on that connection (Connection.SentAfter). It is carried out in two cases:
//   - SentAfter is later than the last change of the zone and than the beginning of the term. When a
//     term begins, the primary has every acknowledged change on its disk, and all of those were sent
//     earlier.
//   - The order arrived on the same connection as the last change of the zone, and so was sent later.
//
// Any other order is refused with LateOrder and its connection is closed. An operator who still waits
// for the response sends the order again on a new connection; a late copy of an order has no effect.
//
// The store of the term applies changes one at a time, so zoneOrders needs no mutex.
type zoneOrders struct {
	since   time.Time
	changes map[string]zoneChange
}

// zoneChange is the last change of a zone in this term.
type zoneChange struct {
	at         time.Time
	connection uint64
}

func newZoneOrders(since time.Time) *zoneOrders {
	return &zoneOrders{since: since, changes: map[string]zoneChange{}}
}

// admit returns nil if the order may change its zone, and a LateOrder error otherwise. An order whose
// connection is not known is not checked.
func (z *zoneOrders) admit(order ZoneOrder) error {
	if order.Connection == (Connection{}) {
		return nil
	}
	last, changed := z.changes[order.Zone]
	if changed && last.connection != 0 && last.connection == order.Connection.ID {
		return nil
	}
	if order.Connection.SentAfter.After(z.since) && order.Connection.SentAfter.After(last.at) {
		return nil
	}
	return failure.New(failure.LateOrder, "the order may be older than the last change of "+order.Zone+"; send it again on a new connection")
}

// record stores the order as the last change of its zone.
func (z *zoneOrders) record(order ZoneOrder, now time.Time) {
	z.changes[order.Zone] = zoneChange{at: now, connection: order.Connection.ID}
}

// orderedChange wraps the change of the configuration that carries out a zone order: the change fails
// with LateOrder if the order is late. An order that does not alter the zone is never late.
func (c *Controller) orderedChange(term *Term, order ZoneOrder, change replication.Change) replication.Change {
	return func(state *replication.State, version, configurationVersion replication.Version) error {
		evacuated, err := config.ZoneEvacuated(state.Configuration, order.Zone)
		if err != nil {
			return err
		}
		if evacuated == order.Evacuate {
			return change(state, version, configurationVersion)
		}
		if err := term.zoneOrders.admit(order); err != nil {
			return err
		}
		if err := change(state, version, configurationVersion); err != nil {
			return err
		}
		term.zoneOrders.record(order, c.runtime.Now())
		return nil
	}
}
