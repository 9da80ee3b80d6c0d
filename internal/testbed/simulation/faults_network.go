package simulation

import (
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// cutFor cuts the links for which chosen returns true for 0.3 to 8 s.
func (w *World) cutFor(chosen func(from, to string) bool) {
	var names []string
	for _, m := range w.machines {
		names = append(names, m.name)
	}
	var cut []*link
	for _, from := range names {
		for _, to := range names {
			if from != to && chosen(from, to) {
				cut = append(cut, w.link(from, to))
			}
		}
	}
	for _, l := range cut {
		l.cut = true
	}
	w.wait(300, 8000)
	for _, l := range cut {
		l.cut = false
	}
}

// isolate cuts a machine off for 0.3 to 8 s, in the given directions.
func (w *World) isolate(name string, inwards, outwards bool) {
	w.tracef("%s is cut off, inbound %v, outbound %v", name, inwards, outwards)
	w.cutFor(func(from, to string) bool { return (inwards && to == name) || (outwards && from == name) })
}

// isolateOneWay cuts a controller off in one direction.
func isolateOneWay(w *World) {
	inwards := w.random.IntN(2) == 0
	w.isolate(anyController(w).name, inwards, !inwards)
}

// cutCoreFromRouters cuts every link between a controller and a router.
func cutCoreFromRouters(w *World) {
	w.cutFor(func(from, to string) bool {
		return w.isController(from) != w.isController(to) && from != "outside" && to != "outside"
	})
}

// slowDials makes one connection in five to a server take up to 2.5 s to open, for 2 to 5 s.
func slowDials(w *World) {
	w.slowDials = 0.2
	w.wait(2000, 5000)
	w.slowDials = 0
}

// cutPair cuts the links between two controllers: in one of three cases only one direction, otherwise
// both.
func cutPair(world *World) {
	found := world.nodes(membership.Controller)
	first := world.random.IntN(len(found))
	left, right := found[first].name, found[(first+1)%len(found)].name
	oneWay := world.random.IntN(3) == 0
	world.tracef("%s and %s are cut from each other, one way %v", left, right, oneWay)
	world.cutFor(func(from, to string) bool {
		return (from == left && to == right) || (!oneWay && from == right && to == left)
	})
}

// degradeLinks calls degrade with each of the links. After length it resets their delays, losses and
// duplicates to zero.
func (w *World) degradeLinks(links []*link, length time.Duration, degrade func(l *link)) {
	for _, l := range links {
		degrade(l)
	}
	w.outside.NewCond().Wait(length, never)
	for _, l := range links {
		l.delay, l.loss, l.duplicate = 0, 0, 0
	}
}

// badLinks delays, duplicates and drops messages on about a third of the links between machines.
func badLinks(world *World) {
	var links []*link
	for _, from := range world.machines {
		for _, to := range world.machines {
			if from != to && world.random.IntN(3) == 0 {
				links = append(links, world.link(from.name, to.name))
			}
		}
	}
	world.degradeLinks(links, time.Duration(1000+world.random.IntN(5000))*time.Millisecond, func(l *link) {
		l.delay = time.Duration(world.random.IntN(150)) * time.Millisecond
		l.duplicate, l.loss = 0.15, 0.04
	})
}

// badServerLinks delays, duplicates and drops messages between about a third of the pairs of a router and
// a server. It also drops a tenth of the responses of all servers after the servers have done the work.
func badServerLinks(world *World) {
	var links []*link
	for _, m := range world.nodes(membership.Router) {
		for _, plan := range world.plans {
			if world.random.IntN(3) == 0 {
				links = append(links, world.link(m.name, plan.Name), world.link(plan.Name, m.name))
			}
		}
	}
	world.loseAnswers = 0.1
	world.degradeLinks(links, time.Duration(1000+world.random.IntN(5000))*time.Millisecond, func(l *link) {
		l.delay = time.Duration(world.random.IntN(60)) * time.Millisecond
		l.duplicate, l.loss = 0.1, 0.03
	})
	world.loseAnswers = 0
}
