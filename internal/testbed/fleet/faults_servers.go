package fleet

import (
	"context"
	"time"

	"seamloom.example/seamloom/internal/membership"
)

func crashServer(lifetime context.Context, d *Day) {
	name := d.anyServer()
	d.Logf("crash %s", name)
	d.Fleet.Server(name).Crash()
	sleep(lifetime, 1500*time.Millisecond)
	if err := d.Fleet.Replace(name); err != nil {
		d.Logf("replacement failed: %v", err)
	}
}

func darkServer(lifetime context.Context, d *Day) {
	name := d.anyServer()
	d.Logf("%s goes dark", name)
	server := d.Fleet.Server(name)
	server.SetDark(true)
	sleep(lifetime, 4*time.Second)
	server.SetDark(false)
}

func replaceServers(lifetime context.Context, d *Day) {
	for _, name := range d.Fleet.ServerNames()[:3] {
		d.Fleet.Server(name).Crash()
		_ = d.Fleet.Replace(name)
		if !sleep(lifetime, 3*time.Second) {
			return
		}
	}
}

// leaveServer shows a server leaving: in the list, by its absence, or in its
// load report.
func leaveServer(lifetime context.Context, d *Day) {
	name := d.anyServer()
	server := d.Fleet.Server(name)
	listed := membership.Server{Name: name, Address: server.Address(), Zone: server.plan.Zone, Leaving: true}
	switch d.draw(3) {
	case 0:
		d.Logf("%s leaves by the list", name)
		d.Fleet.Platform.ListServer(listed)
	case 1:
		d.Logf("%s is listed no more", name)
		d.Fleet.Platform.UnlistServer(name)
	default:
		d.Logf("%s leaves by its load report", name)
		d.Fleet.Events.Append(Entry{Kind: ServerLeaving, Server: name})
		server.SetLeaving(true)
	}
	sleep(lifetime, 6*time.Second)
	server.Crash()
	_ = d.Fleet.Replace(name)
}

func lapseHandles(lifetime context.Context, d *Day) {
	for _, name := range d.Fleet.ServerNames()[:3] {
		d.Fleet.Server(name).SetHandleLifetime(time.Microsecond)
	}
	sleep(lifetime, 3*time.Second)
	for _, name := range d.Fleet.ServerNames()[:3] {
		d.Fleet.Server(name).SetHandleLifetime(5 * time.Second)
	}
}

func slowLinks(lifetime context.Context, d *Day) {
	for _, name := range d.Fleet.ServerNames()[:4] {
		d.Fleet.Server(name).SlowLink(40)
	}
	sleep(lifetime, 5*time.Second)
	for _, name := range d.Fleet.ServerNames()[:4] {
		d.Fleet.Server(name).SlowLink(1)
	}
}
