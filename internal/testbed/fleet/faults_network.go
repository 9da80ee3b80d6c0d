package fleet

import (
	"context"
	"strings"
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// blockLinks blocks the chosen links for a length of time and then ends the faults of all
// links.
func (d *Day) blockLinks(lifetime context.Context, length time.Duration, chosen func(from, to string) bool) {
	d.Fleet.Links.Each(chosen, func(relay *Relay) { relay.SetBlocked(true) })
	sleep(lifetime, length)
	d.Fleet.Links.Heal()
}

// cutPrimary blocks the links between the primary and the other controllers.
func cutPrimary(lifetime context.Context, d *Day) {
	primary := d.primary()
	if primary == nil {
		return
	}
	name := primary.Node.Name
	d.Logf("cut %s off from the other controllers", name)
	d.blockLinks(lifetime, 7*time.Second, func(from, to string) bool {
		return (from == name && isController(to)) || (to == name && isController(from))
	})
}

// cutCore blocks the links between controllers and routers.
func cutCore(lifetime context.Context, d *Day) {
	d.Logf("cut the core off from all routers")
	d.blockLinks(lifetime, 6*time.Second, func(from, to string) bool { return isController(from) != isController(to) })
}

// oneWay blocks either the connections to the primary or those that the primary opens.
func oneWay(lifetime context.Context, d *Day) {
	primary := d.primary()
	if primary == nil {
		return
	}
	name := primary.Node.Name
	inbound := d.draw(2) == 0
	d.Logf("one-way link fault at %s, inbound %v", name, inbound)
	d.blockLinks(lifetime, 7*time.Second, func(from, to string) bool {
		return (inbound && to == name) || (!inbound && from == name)
	})
}

// isolateRouter blocks all links of a random router.
func isolateRouter(lifetime context.Context, d *Day) {
	nodes := d.running(membership.Router)
	name := nodes[d.draw(len(nodes))].Node.Name
	d.Logf("isolate %s", name)
	d.blockLinks(lifetime, 7*time.Second, func(from, to string) bool { return from == name || to == name })
}

// badLinks delays some links, duplicates the messages of others, and breaks
// connections now and then.
func badLinks(lifetime context.Context, d *Day) {
	oneInThree := func(string, string) bool { return d.draw(3) == 0 }
	d.Fleet.Links.Each(oneInThree, func(relay *Relay) { relay.SetDelay(60 * time.Millisecond) })
	d.Fleet.Links.Each(oneInThree, func(relay *Relay) { relay.SetDuplicate(true); relay.Drop() })
	for range 6 {
		if !sleep(lifetime, time.Second) {
			break
		}
		d.Fleet.Links.Each(oneInThree, func(relay *Relay) { relay.Drop() })
	}
	d.Fleet.Links.Heal()
}

// badServerLinks duplicates the requests that routers send to servers, and breaks connections
// while responses are being streamed.
func badServerLinks(lifetime context.Context, d *Day) {
	oneInThree := func(_, to string) bool { return strings.HasPrefix(to, "stove-") && d.draw(3) == 0 }
	d.Fleet.Links.Each(oneInThree, func(relay *Relay) { relay.SetDuplicate(true); relay.Drop() })
	for range 8 {
		if !sleep(lifetime, 700*time.Millisecond) {
			break
		}
		d.Fleet.Links.Each(func(_, to string) bool { return strings.HasPrefix(to, "stove-") && d.draw(8) == 0 },
			func(relay *Relay) { relay.Drop() })
	}
	d.Fleet.Links.Heal()
}
