package simulation

import (
	"time"

	"seamloom.example/seamloom/internal/testbed/fleet"
)

// crashFor crashes a server and puts a cold one in its place.
func (w *World) crashFor(name string, least, most int) {
	if w.servers[name].incarnation.ended {
		return
	}
	if w.servers[name].engine.Active() > 0 {
		w.encounter("answers under way at a server's crash")
	}
	w.tracef("%s crashes", name)
	w.crashServer(name)
	w.wait(least, most)
	w.startServer(w.servers[name].plan)
}

// leaveServer shows a server leaving: in the list, by its absence, or in its
// load report; then another comes in its place.
func leaveServer(world *World) {
	name := world.anyServer()
	s := world.servers[name]
	if s.incarnation.ended {
		return
	}
	way := world.random.IntN(3)
	for way < 2 && world.platform.down {
		// What the platform does not show can't be heeded.
		world.wait(100, 100)
	}
	if world.servers[name] != s || s.incarnation.ended {
		return
	}
	listed := world.platform.servers[name]
	world.Events.Append(fleet.Entry{Kind: fleet.ServerLeaving, Server: name})
	if s.engine.Active() > 0 {
		world.encounter("answers under way at a leaving server")
	}
	switch way {
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

// replaceServers crashes three servers at once, each with a cold one in its place.
func replaceServers(w *World) {
	for range 3 {
		name := w.anyServer()
		w.outside.Go(func() { w.crashFor(name, 0, 300) })
	}
}

// darkenServer has a server take requests and answer none.
func darkenServer(w *World) {
	engine := w.servers[w.anyServer()].engine
	engine.SetDark(true)
	w.wait(1000, 5000)
	engine.SetDark(false)
}

// freezeServer stops a server's process without ending it.
func freezeServer(w *World) {
	i := w.servers[w.anyServer()].incarnation
	i.freeze()
	w.wait(500, 4000)
	i.wake()
}

// lapseHandles has a server forget prompts before anybody can fetch them.
func lapseHandles(w *World) {
	engine := w.servers[w.anyServer()].engine
	engine.SetHandleLifetime(time.Microsecond)
	w.wait(1000, 4000)
	engine.SetHandleLifetime(5 * time.Second)
}

// slowServerLink makes what a server fetches of others take forty times as long.
func slowServerLink(w *World) {
	engine := w.servers[w.anyServer()].engine
	engine.SlowLink(40)
	w.wait(1000, 5000)
	engine.SlowLink(1)
}
