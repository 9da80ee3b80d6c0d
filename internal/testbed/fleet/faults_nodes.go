package fleet

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"seamloom.example/seamloom/internal/membership"
)

func killOne(kind membership.NodeKind, away time.Duration) func(context.Context, *Day) {
	return func(lifetime context.Context, d *Day) {
		nodes := d.running(kind)
		d.killFor(lifetime, nodes[d.draw(len(nodes))], away)
	}
}

func (d *Day) killFor(lifetime context.Context, node *NodeProcess, away time.Duration) {
	d.Logf("kill %s", node.Node.Name)
	node.Kill()
	sleep(lifetime, away)
	d.begin(node)
}

func killPrimary(away time.Duration) func(context.Context, *Day) {
	return func(lifetime context.Context, d *Day) {
		if primary := d.primary(); primary != nil {
			d.killFor(lifetime, primary, away)
		}
	}
}

func killSeat(name string, away time.Duration) func(context.Context, *Day) {
	return func(lifetime context.Context, d *Day) {
		if node := d.seat(name); node != nil {
			d.killFor(lifetime, node, away)
		}
	}
}

// killDuringRepair kills the node that takes a lost one's place.
func killDuringRepair(lifetime context.Context, d *Day) {
	primary := d.primary()
	if primary == nil {
		return
	}
	primary.Kill()
	if err := primary.WipeDisk(); err != nil {
		d.Logf("%v", err)
	}
	d.begin(primary)
	next := d.primary()
	if next == nil {
		return
	}
	sleep(lifetime, 300*time.Millisecond)
	d.killFor(lifetime, next, time.Second)
}

func jump(length time.Duration) func(context.Context, *Day) {
	return func(lifetime context.Context, d *Day) {
		for _, node := range d.running("") {
			if d.draw(2) == 0 {
				d.Logf("the clock of %s jumps by %s", node.Node.Name, length)
				_ = node.SetFaults(NodeFaults{Jump: length})
			}
		}
		sleep(lifetime, 6*time.Second)
		for _, node := range d.running("") {
			_ = node.SetFaults(NodeFaults{})
		}
	}
}

func freeze(role string, length time.Duration) func(context.Context, *Day) {
	return func(lifetime context.Context, d *Day) {
		nodes := d.running(membership.Router)
		node := nodes[d.draw(len(nodes))]
		switch role {
		case "primary":
			node = d.primary()
		case "holder":
			node = d.partsHolder()
		}
		if node == nil {
			return
		}
		d.Logf("freeze %s", node.Node.Name)
		began := time.Now()
		node.Signal(syscall.SIGSTOP)
		sleep(lifetime, length)
		node.Signal(syscall.SIGCONT)
		d.Fleet.Events.Append(Entry{Kind: NodeWoken, Router: node.Node.Name, Took: time.Since(began)})
	}
}

func herd(kind membership.NodeKind) func(context.Context, *Day) {
	return func(lifetime context.Context, d *Day) {
		nodes := d.running(kind)
		d.Logf("kill %d nodes", len(nodes))
		for _, node := range nodes {
			node.Kill()
		}
		sleep(lifetime, 500*time.Millisecond)
		for _, node := range nodes {
			d.begin(node)
		}
	}
}

func loseZone(lifetime context.Context, d *Day) {
	zone := d.Fleet.Deployment.Zones[d.draw(len(d.Fleet.Deployment.Zones))]
	d.Logf("lose %s", zone)
	var nodes []*NodeProcess
	for _, node := range d.running("") {
		if node.Node.Zone == zone {
			node.Kill()
			nodes = append(nodes, node)
		}
	}
	names := d.Fleet.ServersOf(zone)
	for _, name := range names {
		d.Fleet.Server(name).Crash()
	}
	sleep(lifetime, 6*time.Second)
	for _, node := range nodes {
		d.begin(node)
	}
	for _, name := range names {
		_ = d.Fleet.Replace(name)
	}
}

// restartAll stops and begins every node in an orderly way, one after another.
func restartAll(_ context.Context, d *Day) {
	for _, node := range d.running("") {
		node.Stop(20 * time.Second)
		d.begin(node)
		Await(15*time.Second, node.Ready)
	}
}

// upgradeBuilds stops every node that runs an older build and begins it with the
// present one, one after another.
func upgradeBuilds(_ context.Context, d *Day) {
	for _, node := range d.running("") {
		present := Program(d.Fleet.binaries, node.Node.Kind)
		if node.binary == present {
			continue
		}
		d.Logf("%s becomes the present build", node.Node.Name)
		node.Stop(20 * time.Second)
		node.binary = present
		d.begin(node)
		Await(15*time.Second, node.Ready)
	}
}

// exchangeSeeds gives every node other seeds and has it read them.
func exchangeSeeds(_ context.Context, d *Day) {
	var controllers, routers []string
	for _, node := range d.running(membership.Controller) {
		controllers = append(controllers, node.Node.Address)
	}
	for _, node := range d.running(membership.Router) {
		routers = append(routers, node.Node.Address)
	}
	for _, node := range d.running("") {
		node.Set("seeds",
			[]string{routers[d.draw(len(routers)/2)], routers[len(routers)/2+d.draw(len(routers)/2)], controllers[d.draw(len(controllers))]})
		if err := node.WriteSettings(); err != nil {
			d.Logf("%v", err)
		}
		node.Signal(syscall.SIGHUP)
	}
	d.Logf("seeds exchanged")
}

// replaceCore replaces every controller by an empty one at a new address, one
// after another.
func replaceCore(lifetime context.Context, d *Day) {
	for number, old := range d.running(membership.Controller) {
		seeds := []string{}
		for _, other := range d.running(membership.Controller) {
			if other != old && len(seeds) < 2 {
				seeds = append(seeds, other.Node.Address)
			}
		}
		for _, other := range d.running(membership.Router) {
			if len(seeds) < 3 {
				seeds = append(seeds, other.Node.Address)
			}
		}
		addresses, err := freeAddresses(1)
		if err != nil {
			d.Logf("%v", err)
			return
		}
		old.Kill()
		_ = old.WipeDisk()
		d.Fleet.Platform.UnlistNode(old.Node.Name)
		fresh := d.Fleet.AddNode(membership.Controller, fmt.Sprintf("expediter-%d", 11+number), addresses[0],
			old.Node.Zone, seeds)
		fresh.scripted = old.scripted
		d.begin(fresh)
		d.Logf("%s gives way to %s: whole again %v", old.Node.Name, fresh.Node.Name,
			Await(25*time.Second, d.Fleet.CoreIsComplete))
		if lifetime.Err() != nil {
			return
		}
	}
}
