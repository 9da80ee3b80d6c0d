package fleet

import (
	"context"
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// crashServer crashes a random server and replaces it later.
func crashServer(lifetime context.Context, d *Day) {
	name := d.anyServer()
	d.Logf("crash %s", name)
	d.Fleet.Server(name).Crash()
	sleep(lifetime, 1500*time.Millisecond)
	if err := d.Fleet.Replace(name); err != nil {
		d.Logf("replacement failed: %v", err)
	}
}

// makeServerUnresponsive makes a random server stop answering for four seconds.
func makeServerUnresponsive(lifetime context.Context, d *Day) {
	name := d.anyServer()
	d.Logf("%s stops answering", name)
	server := d.Fleet.Server(name)
	server.SetUnresponsive(true)
	sleep(lifetime, 4*time.Second)
	server.SetUnresponsive(false)
}

// replaceServers crashes and replaces three servers, one after another.
func replaceServers(lifetime context.Context, d *Day) {
	for _, name := range d.Fleet.ServerNames()[:3] {
		d.Fleet.Server(name).Crash()
		_ = d.Fleet.Replace(name)
		if !sleep(lifetime, 3*time.Second) {
			return
		}
	}
}

// leaveServer makes a server leave in one of three ways: it is listed as leaving, it is
// removed from the list, or its load report says that it leaves.
func leaveServer(lifetime context.Context, d *Day) {
	name := d.anyServer()
	server := d.Fleet.Server(name)
	listed := membership.Server{Name: name, Address: server.Address(), Zone: server.plan.Zone, Leaving: true}
	switch d.draw(3) {
	case 0:
		d.Logf("%s is listed as leaving", name)
		d.Fleet.Platform.ListServer(listed)
	case 1:
		d.Logf("%s is removed from the list", name)
		d.Fleet.Platform.UnlistServer(name)
	default:
		d.Logf("%s reports in its load report that it leaves", name)
		d.Fleet.Events.Append(Entry{Kind: ServerLeaving, Server: name})
		server.SetLeaving(true)
	}
	sleep(lifetime, 6*time.Second)
	server.Crash()
	_ = d.Fleet.Replace(name)
}

// lapseHandles makes the memory handles of three servers expire almost at once for three
// seconds.
func lapseHandles(lifetime context.Context, d *Day) {
	for _, name := range d.Fleet.ServerNames()[:3] {
		d.Fleet.Server(name).SetHandleLifetime(time.Microsecond)
	}
	sleep(lifetime, 3*time.Second)
	for _, name := range d.Fleet.ServerNames()[:3] {
		d.Fleet.Server(name).SetHandleLifetime(5 * time.Second)
	}
}

// slowLinks makes the links of four servers 40 times slower for five seconds.
func slowLinks(lifetime context.Context, d *Day) {
	for _, name := range d.Fleet.ServerNames()[:4] {
		d.Fleet.Server(name).SlowLink(40)
	}
	sleep(lifetime, 5*time.Second)
	for _, name := range d.Fleet.ServerNames()[:4] {
		d.Fleet.Server(name).SlowLink(1)
	}
}
