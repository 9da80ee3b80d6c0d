package fleet

import (
	"context"
	"sort"
	"strings"
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// Fault is a fault that a day can inject. Links means that the fault needs a relay on each link
// of the fleet, and Scripted that it needs nodes with scripted disks and clocks.
type Fault struct {
	Name     string
	Links    bool
	Scripted bool
	Run      func(lifetime context.Context, d *Day)
}

// faults holds all faults by name.
var faults = map[string]Fault{
	"kill-courier": {Run: killOne(membership.Router, time.Second)},
	"kill-primary": {Run: killPrimary(4 * time.Second)},
	"kill-backup":  {Run: killCoreMember("backup", 4*time.Second)},
	"power-loss":   {Scripted: true, Run: powerLoss},
	"lose-disk":    {Run: loseDisk},
	"slow-disk": {Scripted: true, Run: diskFault(NodeFaults{Disk: "slow", Delay: 80 * time.Millisecond},
		4*time.Second)},
	"stall-disk":           {Scripted: true, Run: diskFault(NodeFaults{Disk: "stall"}, 5*time.Second)},
	"full-disk":            {Scripted: true, Run: diskFault(NodeFaults{Disk: "full"}, 5*time.Second)},
	"damaged-disk":         {Scripted: true, Run: damagedDisk},
	"clock-forward":        {Scripted: true, Run: jumpClocks(2 * time.Hour)},
	"clock-back":           {Scripted: true, Run: jumpClocks(-2 * time.Hour)},
	"freeze-primary":       {Run: freeze("primary", 6*time.Second)},
	"freeze-courier":       {Run: freeze("courier", 6*time.Second)},
	"freeze-holder":        {Run: freeze("holder", 9*time.Second)},
	"herd-couriers":        {Run: restartTogether(membership.Router)},
	"herd-expediters":      {Run: restartTogether(membership.Controller)},
	"cold-start":           {Run: restartTogether("")},
	"lose-zone":            {Run: loseZone},
	"crash-server":         {Run: crashServer},
	"dark-server":          {Run: makeServerUnresponsive},
	"replace-servers":      {Run: replaceServers},
	"leave-server":         {Run: leaveServer},
	"lapse-handles":        {Run: lapseHandles},
	"slow-links":           {Run: slowLinks},
	"flood":                {Run: flood},
	"cut-primary":          {Links: true, Run: cutPrimary},
	"cut-core":             {Links: true, Run: cutCore},
	"one-way":              {Links: true, Run: oneWay},
	"isolate-courier":      {Links: true, Run: isolateRouter},
	"bad-links":            {Links: true, Run: badLinks},
	"bad-server-links":     {Links: true, Run: badServerLinks},
	"evacuate":             {Run: evacuate(1)},
	"evacuate-two":         {Run: evacuate(2)},
	"evacuate-all":         {Run: evacuate(3)},
	"storm":                {Run: storm},
	"race":                 {Run: race},
	"large-configuration":  {Run: largeConfiguration},
	"large-storm":          {Run: largeStorm},
	"exchange-seeds":       {Run: exchangeSeeds},
	"replace-core":         {Run: replaceCore},
	"kill-during-repair":   {Run: killDuringRepair},
	"restart-with-traffic": {Run: restartAll},
	"upgrade-builds":       {Run: upgradeBuilds},
	"platform-down": {Run: func(lifetime context.Context, d *Day) {
		d.Fleet.Platform.SetDown(true)
		sleep(lifetime, 6*time.Second)
		d.Fleet.Platform.SetDown(false)
	}},
}

// FaultNamed returns the fault with a name, and whether there is one.
func FaultNamed(name string) (Fault, bool) {
	fault, found := faults[name]
	fault.Name = name
	return fault, found
}

// FaultNames returns the names of all faults, sorted.
func FaultNames() []string {
	var names []string
	for name := range faults {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// draw returns a random number from 0 to count-1.
func (d *Day) draw(count int) int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.random.IntN(count)
}

// running returns the running nodes of a kind; an empty kind means all nodes.
func (d *Day) running(kind membership.NodeKind) []*NodeProcess {
	return d.Fleet.Running(kind)
}

// begin starts a node. An error goes only to the day's log.
func (d *Day) begin(node *NodeProcess) {
	if err := node.Begin(); err != nil {
		d.Logf("%s did not start: %v", node.Node.Name, err)
	}
}

// primary waits up to 10 seconds for a primary and returns it, or nil.
func (d *Day) primary() *NodeProcess {
	var primary *NodeProcess
	Await(10*time.Second, func() bool {
		primary = d.Fleet.Primary()
		return primary != nil
	})
	return primary
}

// coreMember returns the node that has a role in the core, such as "backup", according to the
// primary's status. It returns nil if there is none.
func (d *Day) coreMember(role string) *NodeProcess {
	primary := d.primary()
	if primary == nil {
		return nil
	}
	var status map[string]any
	if _, err := primary.ReadJSON("/v1/status", &status); err != nil {
		return nil
	}
	coreMember, _ := status[role].(map[string]any)
	for _, node := range d.Fleet.Nodes() {
		if coreMember != nil && node.Node.Name == coreMember["name"] {
			return node
		}
	}
	return nil
}

// roleLeaseHolder returns the router that holds the lease for assigning roles to servers, or nil.
func (d *Day) roleLeaseHolder() *NodeProcess {
	primary := d.primary()
	if primary == nil {
		return nil
	}
	var status struct {
		Duties map[string]struct{ Holder string }
	}
	if _, err := primary.ReadJSON("/v1/status", &status); err != nil {
		return nil
	}
	for _, node := range d.running(membership.Router) {
		if node.Node.Name == status.Duties["parts"].Holder {
			return node
		}
	}
	return nil
}

// anyServer returns the name of a random stand-in server.
func (d *Day) anyServer() string {
	names := d.Fleet.ServerNames()
	return names[d.draw(len(names))]
}

func isController(name string) bool { return strings.HasPrefix(name, "expediter-") }

// usualFloor is the lowest allowed share of complete replies on a day with one fault. It
// leaves a margin for a busy machine: most days have more than 0.95, even while two other fleets run
// on the machine (docs/measurements.md).
const usualFloor = 0.85

// lowerFloors holds the floors of faults that cost more replies, with a margin of about a
// tenth: no router has a lease while the core is cut off, evacuated servers get no work, and
// links and nodes that are faulty for most of the day fail the requests that use them.
var lowerFloors = map[string]float64{
	"cut-core": 0.55, "evacuate-all": 0.45, "cold-start": 0.72, "bad-links": 0.75, "bad-server-links": 0.75, "one-way": 0.75,
	"isolate-courier": 0.75, "freeze-primary": 0.75, "freeze-courier": 0.78, "lapse-handles": 0.78, "kill-during-repair": 0.78,
}

// FloorOf returns the lowest allowed share of complete replies on a day with only this
// fault.
func FloorOf(fault string) float64 {
	if floor, found := lowerFloors[fault]; found {
		return floor
	}
	return usualFloor
}
