package fleet

import (
	"context"
	"strings"
	"time"

	"seamloom.example/seamloom/internal/membership"
)

func (d *Day) darken(lifetime context.Context, length time.Duration, chosen func(from, to string) bool) {
	d.Fleet.Links.Each(chosen, func(relay *Relay) { relay.SetDark(true) })
	sleep(lifetime, length)
	d.Fleet.Links.Heal()
}

func cutPrimary(lifetime context.Context, d *Day) {
	primary := d.primary()
	if primary == nil {
		return
	}
	name := primary.Node.Name
	d.Logf("cut %s from the other expediters", name)
	d.darken(lifetime, 7*time.Second, func(from, to string) bool {
		return (from == name && isController(to)) || (to == name && isController(from))
	})
}

func cutCore(lifetime context.Context, d *Day) {
	d.Logf("cut the core from all couriers")
	d.darken(lifetime, 6*time.Second, func(from, to string) bool { return isController(from) != isController(to) })
}

func oneWay(lifetime context.Context, d *Day) {
	primary := d.primary()
	if primary == nil {
		return
	}
	name := primary.Node.Name
	inwards := d.draw(2) == 0
	d.Logf("one way: %s, inwards %v", name, inwards)
	d.darken(lifetime, 7*time.Second, func(from, to string) bool {
		return (inwards && to == name) || (!inwards && from == name)
	})
}

func isolateRouter(lifetime context.Context, d *Day) {
	nodes := d.running(membership.Router)
	name := nodes[d.draw(len(nodes))].Node.Name
	d.Logf("isolate %s", name)
	d.darken(lifetime, 7*time.Second, func(from, to string) bool { return from == name || to == name })
}

// badLinks delays some links, duplicates the messages of others, and breaks
// connections now and then.
func badLinks(lifetime context.Context, d *Day) {
	chance := func(string, string) bool { return d.draw(3) == 0 }
	d.Fleet.Links.Each(chance, func(relay *Relay) { relay.SetDelay(60 * time.Millisecond) })
	d.Fleet.Links.Each(chance, func(relay *Relay) { relay.SetDuplicate(true); relay.Drop() })
	for range 6 {
		if !sleep(lifetime, time.Second) {
			break
		}
		d.Fleet.Links.Each(chance, func(relay *Relay) { relay.Drop() })
	}
	d.Fleet.Links.Heal()
}

// badServerLinks duplicates what routers order of servers, and cuts connections
// while answers stream.
func badServerLinks(lifetime context.Context, d *Day) {
	chance := func(_, to string) bool { return strings.HasPrefix(to, "stove-") && d.draw(3) == 0 }
	d.Fleet.Links.Each(chance, func(relay *Relay) { relay.SetDuplicate(true); relay.Drop() })
	for range 8 {
		if !sleep(lifetime, 700*time.Millisecond) {
			break
		}
		d.Fleet.Links.Each(func(_, to string) bool { return strings.HasPrefix(to, "stove-") && d.draw(8) == 0 },
			func(relay *Relay) { relay.Drop() })
	}
	d.Fleet.Links.Heal()
}
