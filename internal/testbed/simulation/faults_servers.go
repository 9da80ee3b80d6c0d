package simulation

import (
	"time"

	"seamloom.example/seamloom/internal/testbed/fleet"
)

// crashFor crashes a server and starts a cold server in its place after least to most milliseconds.
func (w *World) crashFor(name string, least, most int) {
	if w.servers[name].incarnation.ended {
		return
	}
	if w.servers[name].engine.Active() > 0 {
		w.encounter("replies in progress at a server's crash")
	}
	w.tracef("%s crashes", name)
	w.crashServer(name)
	w.wait(least, most)
	w.startServer(w.servers[name].plan)
}

// leaveServer makes a server leave and later replaces the server. Routers learn in one of three ways
// that the server leaves: the platform's list marks the server as leaving, the list lacks the server,
// or the server's load report says so.
func leaveServer(world *World) {
	name := world.anyServer()
	s := world.servers[name]
	if s.incarnation.ended {
		return
	}
	signal := world.random.IntN(3)
	for signal < 2 && world.platform.down {
		// Routers can't react to a change in the list while the platform is down.
		world.wait(100, 100)
	}
	if world.servers[name] != s || s.incarnation.ended {
		return
	}
	listed := world.platform.servers[name]
	world.Events.Append(fleet.Entry{Kind: fleet.ServerLeaving, Server: name})
	if s.engine.Active() > 0 {
		world.encounter("replies in progress at a leaving server")
	}
	switch signal {
	case 0:
		listed.Leaving = true
		world.platform.servers[name] = listed
	case 1:
		delete(world.platform.servers, name)
	default:
		s.engine.SetLeaving(true)
	}
	world.tracef("%s leaves", name)
	world.wait(4500, 8000)
	if world.servers[name] == s {
		world.crashFor(name, 0, 1000)
	}
}

// replaceServers crashes up to three servers at the same time and starts a new, cold server in place
// of each.
func replaceServers(w *World) {
	for range 3 {
		name := w.anyServer()
		w.outside.Go(func() { w.crashFor(name, 0, 300) })
	}
}

// makeServerUnresponsive makes a server accept requests without answering them.
func makeServerUnresponsive(w *World) {
	engine := w.servers[w.anyServer()].engine
	engine.SetUnresponsive(true)
	w.wait(1000, 5000)
	engine.SetUnresponsive(false)
}

// freezeServer pauses a server's process.
func freezeServer(w *World) {
	i := w.servers[w.anyServer()].incarnation
	i.freeze()
	w.wait(500, 4000)
	i.wake()
}

// lapseHandles makes a server drop prompt memory before another server can fetch it.
func lapseHandles(w *World) {
	engine := w.servers[w.anyServer()].engine
	engine.SetHandleLifetime(time.Microsecond)
	w.wait(1000, 4000)
	engine.SetHandleLifetime(5 * time.Second)
}

// slowServerLink makes a server's fetches from other servers take forty times as long.
func slowServerLink(w *World) {
	engine := w.servers[w.anyServer()].engine
	engine.SlowLink(40)
	w.wait(1000, 5000)
	engine.SlowLink(1)
}
