package fleet

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// killOne returns a fault that kills a random node of a kind and restarts it later.
func killOne(kind membership.NodeKind, downtime time.Duration) func(context.Context, *Day) {
	return func(lifetime context.Context, d *Day) {
		nodes := d.running(kind)
		d.killFor(lifetime, nodes[d.draw(len(nodes))], downtime)
	}
}

// killFor kills a node and restarts it after a length of time.
func (d *Day) killFor(lifetime context.Context, node *NodeProcess, downtime time.Duration) {
	d.Logf("kill %s", node.Node.Name)
	node.Kill()
	sleep(lifetime, downtime)
	d.begin(node)
}

// killPrimary returns a fault that kills the primary and restarts it later.
func killPrimary(downtime time.Duration) func(context.Context, *Day) {
	return func(lifetime context.Context, d *Day) {
		if primary := d.primary(); primary != nil {
			d.killFor(lifetime, primary, downtime)
		}
	}
}

// killCoreMember returns a fault that kills the node that has a role in the core, such as
// "backup", and restarts it later.
func killCoreMember(role string, downtime time.Duration) func(context.Context, *Day) {
	return func(lifetime context.Context, d *Day) {
		if node := d.coreMember(role); node != nil {
			d.killFor(lifetime, node, downtime)
		}
	}
}

// killDuringRepair makes the primary lose its disk and kills the next primary while the
// lost copy is being repaired.
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

// jumpClocks returns a fault that moves the wall clocks of about half of the nodes for six
// seconds.
func jumpClocks(length time.Duration) func(context.Context, *Day) {
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

// freeze returns a fault that stops a node with SIGSTOP for a length of time: the primary, the
// holder of the role lease, or a random router.
func freeze(role string, length time.Duration) func(context.Context, *Day) {
	return func(lifetime context.Context, d *Day) {
		nodes := d.running(membership.Router)
		node := nodes[d.draw(len(nodes))]
		switch role {
		case "primary":
			node = d.primary()
		case "holder":
			node = d.roleLeaseHolder()
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

// restartTogether returns a fault that kills all nodes of a kind and restarts them half a
// second later. An empty kind means all nodes.
func restartTogether(kind membership.NodeKind) func(context.Context, *Day) {
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

// loseZone kills the nodes and crashes the servers of a random zone, and restarts them later.
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

// restartAll drains, stops and restarts every node, one after another.
func restartAll(_ context.Context, d *Day) {
	for _, node := range d.running("") {
		node.Stop(20 * time.Second)
		d.begin(node)
		Await(15*time.Second, node.Ready)
	}
}

// upgradeBuilds restarts every node that runs an older build with the present build, one
// after another.
func upgradeBuilds(_ context.Context, d *Day) {
	for _, node := range d.running("") {
		present := Program(d.Fleet.binaries, node.Node.Kind)
		if node.binary == present {
			continue
		}
		d.Logf("%s is upgraded to the present build", node.Node.Name)
		node.Stop(20 * time.Second)
		node.binary = present
		d.begin(node)
		Await(15*time.Second, node.Ready)
	}
}

// exchangeSeeds gives every node a new list of seeds, two routers and one controller, and makes
// it reload its settings.
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
			[]string{routers[d.draw(len(routers)/2)], routers[len(routers)/2+d.draw(len(routers)/2)],
				controllers[d.draw(len(controllers))]})
		if err := node.WriteSettings(); err != nil {
			d.Logf("%v", err)
		}
		node.Signal(syscall.SIGHUP)
	}
	d.Logf("seeds exchanged")
}

// replaceCore replaces every controller by one with an empty disk at a new address, one
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
		d.Logf("%s is replaced by %s: core complete %v", old.Node.Name, fresh.Node.Name,
			Await(25*time.Second, d.Fleet.CoreIsComplete))
		if lifetime.Err() != nil {
			return
		}
	}
}
