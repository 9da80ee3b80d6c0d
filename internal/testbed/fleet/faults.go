package fleet

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/google/uuid"

	"seamloom.example/seamloom/internal/membership"
)

// Fault is one thing that fails in a day, with what it needs of the fleet.
type Fault struct {
	Name   string
	Links  bool
	Staged bool
	Run    func(lifetime context.Context, day *Day)
}

// faults are all that the brief names under "What fails".
var faults = map[string]Fault{
	"kill-courier":         {Run: killOne(membership.Router, time.Second)},
	"kill-primary":         {Run: killPrimary(4 * time.Second)},
	"kill-backup":          {Run: killSeat("backup", 4*time.Second)},
	"power-loss":           {Staged: true, Run: powerLoss},
	"lose-disk":            {Run: loseDisk},
	"slow-disk":            {Staged: true, Run: diskFault(NodeFaults{Disk: "slow", Delay: 80 * time.Millisecond}, 4*time.Second)},
	"stall-disk":           {Staged: true, Run: diskFault(NodeFaults{Disk: "stall"}, 5*time.Second)},
	"full-disk":            {Staged: true, Run: diskFault(NodeFaults{Disk: "full"}, 5*time.Second)},
	"damaged-disk":         {Staged: true, Run: damagedDisk},
	"clock-forward":        {Staged: true, Run: jump(2 * time.Hour)},
	"clock-back":           {Staged: true, Run: jump(-2 * time.Hour)},
	"freeze-primary":       {Run: freeze("primary", 6*time.Second)},
	"freeze-courier":       {Run: freeze("courier", 6*time.Second)},
	"freeze-holder":        {Run: freeze("holder", 9*time.Second)},
	"herd-couriers":        {Run: herd(membership.Router)},
	"herd-expediters":      {Run: herd(membership.Controller)},
	"cold-start":           {Run: herd("")},
	"lose-zone":            {Run: loseZone},
	"crash-server":         {Run: crashServer},
	"dark-server":          {Run: darkServer},
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
	"platform-down": {Run: func(lifetime context.Context, day *Day) {
		day.Fleet.Platform.SetDown(true)
		sleep(lifetime, 6*time.Second)
		day.Fleet.Platform.SetDown(false)
	}},
}

// FaultNamed finds a fault.
func FaultNamed(name string) (Fault, bool) {
	fault, found := faults[name]
	fault.Name = name
	return fault, found
}

// FaultNames lists all faults in order.
func FaultNames() []string {
	var names []string
	for name := range faults {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (day *Day) draw(count int) int {
	day.mutex.Lock()
	defer day.mutex.Unlock()
	return day.random.IntN(count)
}

func (day *Day) running(kind membership.NodeKind) []*NodeProcess {
	return day.Fleet.Running(kind)
}

func (day *Day) begin(node *NodeProcess) {
	if err := node.Begin(); err != nil {
		day.Say("%s did not begin: %v", node.Node.Name, err)
	}
}

func killOne(kind membership.NodeKind, away time.Duration) func(context.Context, *Day) {
	return func(lifetime context.Context, day *Day) {
		nodes := day.running(kind)
		day.killFor(lifetime, nodes[day.draw(len(nodes))], away)
	}
}

func (day *Day) killFor(lifetime context.Context, node *NodeProcess, away time.Duration) {
	day.Say("kill %s", node.Node.Name)
	node.Kill()
	sleep(lifetime, away)
	day.begin(node)
}

// primary waits for a primary.
func (day *Day) primary() *NodeProcess {
	var primary *NodeProcess
	Await(10*time.Second, func() bool {
		primary = day.Fleet.Primary()
		return primary != nil
	})
	return primary
}

func killPrimary(away time.Duration) func(context.Context, *Day) {
	return func(lifetime context.Context, day *Day) {
		if primary := day.primary(); primary != nil {
			day.killFor(lifetime, primary, away)
		}
	}
}

// seat finds the node in a seat of the membership, as the primary says.
func (day *Day) seat(name string) *NodeProcess {
	primary := day.primary()
	if primary == nil {
		return nil
	}
	var status map[string]any
	if _, err := primary.ReadJSON("/v1/status", &status); err != nil {
		return nil
	}
	seat, _ := status[name].(map[string]any)
	for _, node := range day.Fleet.Nodes() {
		if seat != nil && node.Node.Name == seat["name"] {
			return node
		}
	}
	return nil
}

func killSeat(name string, away time.Duration) func(context.Context, *Day) {
	return func(lifetime context.Context, day *Day) {
		if node := day.seat(name); node != nil {
			day.killFor(lifetime, node, away)
		}
	}
}

// powerLoss kills primary and backup right after an acceptance; what was not
// synced is gone.
func powerLoss(lifetime context.Context, day *Day) {
	backup := day.seat("backup")
	primary := day.primary()
	Await(8*time.Second, day.NextRevision)
	if primary == nil || backup == nil {
		return
	}
	primary.Kill()
	backup.Kill()
	day.Say("power loss of %s and %s", primary.Node.Name, backup.Node.Name)
	sleep(lifetime, time.Second)
	day.begin(primary)
	day.begin(backup)
}

// loseDisk takes the primary's whole disk right after an acceptance.
func loseDisk(lifetime context.Context, day *Day) {
	primary := day.primary()
	Await(8*time.Second, day.NextRevision)
	if primary == nil {
		return
	}
	primary.Kill()
	if err := primary.WipeDisk(); err != nil {
		day.Say("%v", err)
	}
	day.Say("%s has lost its disk", primary.Node.Name)
	sleep(lifetime, time.Second)
	day.begin(primary)
}

// killDuringRepair kills the node that takes a lost one's place.
func killDuringRepair(lifetime context.Context, day *Day) {
	primary := day.primary()
	if primary == nil {
		return
	}
	primary.Kill()
	if err := primary.WipeDisk(); err != nil {
		day.Say("%v", err)
	}
	day.begin(primary)
	next := day.primary()
	if next == nil {
		return
	}
	sleep(lifetime, 300*time.Millisecond)
	day.killFor(lifetime, next, time.Second)
}

func diskFault(faults NodeFaults, length time.Duration) func(context.Context, *Day) {
	return func(lifetime context.Context, day *Day) {
		node := day.primary()
		if day.draw(2) == 0 {
			node = day.seat("backup")
		}
		if node == nil {
			return
		}
		day.Say("%s disk of %s", faults.Disk, node.Node.Name)
		_ = node.SetFaults(faults)
		sleep(lifetime, length)
		_ = node.SetFaults(NodeFaults{})
	}
}

// damagedDisk restarts the backup on a disk that returns damage.
func damagedDisk(lifetime context.Context, day *Day) {
	node := day.seat("backup")
	if node == nil {
		return
	}
	day.Say("damaged disk of %s", node.Node.Name)
	node.Kill()
	_ = node.SetFaults(NodeFaults{Disk: "damage"})
	day.begin(node)
	sleep(lifetime, 5*time.Second)
	_ = node.SetFaults(NodeFaults{})
}

func jump(length time.Duration) func(context.Context, *Day) {
	return func(lifetime context.Context, day *Day) {
		for _, node := range day.running("") {
			if day.draw(2) == 0 {
				day.Say("the clock of %s jumps by %s", node.Node.Name, length)
				_ = node.SetFaults(NodeFaults{Jump: length})
			}
		}
		sleep(lifetime, 6*time.Second)
		for _, node := range day.running("") {
			_ = node.SetFaults(NodeFaults{})
		}
	}
}

func freeze(role string, length time.Duration) func(context.Context, *Day) {
	return func(lifetime context.Context, day *Day) {
		nodes := day.running(membership.Router)
		node := nodes[day.draw(len(nodes))]
		switch role {
		case "primary":
			node = day.primary()
		case "holder":
			node = day.partsHolder()
		}
		if node == nil {
			return
		}
		day.Say("freeze %s", node.Node.Name)
		began := time.Now()
		node.Signal(syscall.SIGSTOP)
		sleep(lifetime, length)
		node.Signal(syscall.SIGCONT)
		day.Fleet.Events.Append(Entry{Kind: NodeWoken, Router: node.Node.Name, Took: time.Since(began)})
	}
}

// holder finds the router that has the duty of deciding the parts.
func (day *Day) partsHolder() *NodeProcess {
	primary := day.primary()
	if primary == nil {
		return nil
	}
	var status struct {
		Duties map[string]struct{ Holder string }
	}
	if _, err := primary.ReadJSON("/v1/status", &status); err != nil {
		return nil
	}
	for _, node := range day.running(membership.Router) {
		if node.Node.Name == status.Duties["parts"].Holder {
			return node
		}
	}
	return nil
}

func herd(kind membership.NodeKind) func(context.Context, *Day) {
	return func(lifetime context.Context, day *Day) {
		nodes := day.running(kind)
		day.Say("kill %d nodes", len(nodes))
		for _, node := range nodes {
			node.Kill()
		}
		sleep(lifetime, 500*time.Millisecond)
		for _, node := range nodes {
			day.begin(node)
		}
	}
}

// restartAll stops and begins every node in an orderly way, one after another.
func restartAll(_ context.Context, day *Day) {
	for _, node := range day.running("") {
		node.Stop(20 * time.Second)
		day.begin(node)
		Await(15*time.Second, node.Ready)
	}
}

// upgradeBuilds stops every node that runs an older build and begins it with the
// present one, one after another.
func upgradeBuilds(_ context.Context, day *Day) {
	for _, node := range day.running("") {
		present := Program(day.Fleet.binaries, node.Node.Kind)
		if node.binary == present {
			continue
		}
		day.Say("%s becomes the present build", node.Node.Name)
		node.Stop(20 * time.Second)
		node.binary = present
		day.begin(node)
		Await(15*time.Second, node.Ready)
	}
}

func loseZone(lifetime context.Context, day *Day) {
	zone := day.Fleet.Deployment.Zones[day.draw(len(day.Fleet.Deployment.Zones))]
	day.Say("lose %s", zone)
	var nodes []*NodeProcess
	for _, node := range day.running("") {
		if node.Node.Zone == zone {
			node.Kill()
			nodes = append(nodes, node)
		}
	}
	names := day.Fleet.ServersOf(zone)
	for _, name := range names {
		day.Fleet.Server(name).Crash()
	}
	sleep(lifetime, 6*time.Second)
	for _, node := range nodes {
		day.begin(node)
	}
	for _, name := range names {
		_ = day.Fleet.Replace(name)
	}
}

func (day *Day) anyServer() string {
	names := day.Fleet.ServerNames()
	return names[day.draw(len(names))]
}

func crashServer(lifetime context.Context, day *Day) {
	name := day.anyServer()
	day.Say("crash %s", name)
	day.Fleet.Server(name).Crash()
	sleep(lifetime, 1500*time.Millisecond)
	if err := day.Fleet.Replace(name); err != nil {
		day.Say("replacement failed: %v", err)
	}
}

func darkServer(lifetime context.Context, day *Day) {
	name := day.anyServer()
	day.Say("%s goes dark", name)
	server := day.Fleet.Server(name)
	server.SetDark(true)
	sleep(lifetime, 4*time.Second)
	server.SetDark(false)
}

func replaceServers(lifetime context.Context, day *Day) {
	for _, name := range day.Fleet.ServerNames()[:3] {
		day.Fleet.Server(name).Crash()
		_ = day.Fleet.Replace(name)
		if !sleep(lifetime, 3*time.Second) {
			return
		}
	}
}

// leaveServer shows a server leaving: in the list, by its absence, or in its
// load report.
func leaveServer(lifetime context.Context, day *Day) {
	name := day.anyServer()
	server := day.Fleet.Server(name)
	listed := membership.Server{Name: name, Address: server.Address(), Zone: server.plan.Zone, Leaving: true}
	switch day.draw(3) {
	case 0:
		day.Say("%s leaves by the list", name)
		day.Fleet.Platform.ListServer(listed)
	case 1:
		day.Say("%s is listed no more", name)
		day.Fleet.Platform.UnlistServer(name)
	default:
		day.Say("%s leaves by its load report", name)
		day.Fleet.Events.Append(Entry{Kind: ServerLeaving, Server: name})
		server.SetLeaving(true)
	}
	sleep(lifetime, 6*time.Second)
	server.Crash()
	_ = day.Fleet.Replace(name)
}

func lapseHandles(lifetime context.Context, day *Day) {
	for _, name := range day.Fleet.ServerNames()[:3] {
		day.Fleet.Server(name).SetHandleLifetime(time.Microsecond)
	}
	sleep(lifetime, 3*time.Second)
	for _, name := range day.Fleet.ServerNames()[:3] {
		day.Fleet.Server(name).SetHandleLifetime(5 * time.Second)
	}
}

func slowLinks(lifetime context.Context, day *Day) {
	for _, name := range day.Fleet.ServerNames()[:4] {
		day.Fleet.Server(name).SlowLink(40)
	}
	sleep(lifetime, 5*time.Second)
	for _, name := range day.Fleet.ServerNames()[:4] {
		day.Fleet.Server(name).SlowLink(1)
	}
}

func flood(lifetime context.Context, day *Day) {
	day.Clients.SetRates(day.Long*5, day.Short*5)
	sleep(lifetime, 5*time.Second)
	day.Clients.SetRates(day.Long, day.Short)
}

func (day *Day) darken(lifetime context.Context, length time.Duration, chosen func(from, to string) bool) {
	day.Fleet.Links.Each(chosen, func(relay *Relay) { relay.SetDark(true) })
	sleep(lifetime, length)
	day.Fleet.Links.Heal()
}

func cutPrimary(lifetime context.Context, day *Day) {
	primary := day.primary()
	if primary == nil {
		return
	}
	name := primary.Node.Name
	day.Say("cut %s from the other expediters", name)
	day.darken(lifetime, 7*time.Second, func(from, to string) bool {
		return (from == name && isController(to)) || (to == name && isController(from))
	})
}

func isController(name string) bool { return strings.HasPrefix(name, "expediter-") }

func cutCore(lifetime context.Context, day *Day) {
	day.Say("cut the core from all couriers")
	day.darken(lifetime, 6*time.Second, func(from, to string) bool { return isController(from) != isController(to) })
}

func oneWay(lifetime context.Context, day *Day) {
	primary := day.primary()
	if primary == nil {
		return
	}
	name := primary.Node.Name
	inwards := day.draw(2) == 0
	day.Say("one way: %s, inwards %v", name, inwards)
	day.darken(lifetime, 7*time.Second, func(from, to string) bool {
		return (inwards && to == name) || (!inwards && from == name)
	})
}

func isolateRouter(lifetime context.Context, day *Day) {
	nodes := day.running(membership.Router)
	name := nodes[day.draw(len(nodes))].Node.Name
	day.Say("isolate %s", name)
	day.darken(lifetime, 7*time.Second, func(from, to string) bool { return from == name || to == name })
}

// badLinks delays some links, duplicates the messages of others, and breaks
// connections now and then.
func badLinks(lifetime context.Context, day *Day) {
	chance := func(string, string) bool { return day.draw(3) == 0 }
	day.Fleet.Links.Each(chance, func(relay *Relay) { relay.SetDelay(60 * time.Millisecond) })
	day.Fleet.Links.Each(chance, func(relay *Relay) { relay.SetDuplicate(true); relay.Drop() })
	for range 6 {
		if !sleep(lifetime, time.Second) {
			break
		}
		day.Fleet.Links.Each(chance, func(relay *Relay) { relay.Drop() })
	}
	day.Fleet.Links.Heal()
}

// badServerLinks duplicates what routers order of servers, and cuts connections
// while answers stream.
func badServerLinks(lifetime context.Context, day *Day) {
	chance := func(_, to string) bool { return strings.HasPrefix(to, "stove-") && day.draw(3) == 0 }
	day.Fleet.Links.Each(chance, func(relay *Relay) { relay.SetDuplicate(true); relay.Drop() })
	for range 8 {
		if !sleep(lifetime, 700*time.Millisecond) {
			break
		}
		day.Fleet.Links.Each(func(_, to string) bool { return strings.HasPrefix(to, "stove-") && day.draw(8) == 0 }, func(relay *Relay) { relay.Drop() })
	}
	day.Fleet.Links.Heal()
}

func evacuate(count int) func(context.Context, *Day) {
	return func(lifetime context.Context, day *Day) {
		zones := day.Fleet.Deployment.Zones
		first := day.draw(len(zones))
		var evacuating sync.WaitGroup
		for number := range count {
			zone := zones[(first+number)%len(zones)]
			evacuating.Go(func() {
				node := day.anyController()
				accepted := node != nil && day.Operators.Evacuate(node, zone)
				day.Say("evacuate %s: %v", zone, accepted)
			})
		}
		evacuating.Wait()
		sleep(lifetime, 6500*time.Millisecond)
		for number := range count {
			district := zones[(first+number)%len(zones)]
			Await(10*time.Second, func() bool {
				node := day.anyController()
				return node != nil && day.Operators.Restore(node, district)
			})
		}
	}
}

// storm lets eight operators change the configuration at once, without pause,
// while revisions follow each other.
func storm(lifetime context.Context, day *Day) {
	ends := time.Now().Add(5 * time.Second)
	going := func() bool { return time.Now().Before(ends) && lifetime.Err() == nil }
	var accepted atomic.Int64
	var storming sync.WaitGroup
	for number := range 8 {
		path := fmt.Sprintf("/v1/evacuations/nowhere-%d", number)
		storming.Go(func() {
			for going() {
				for _, method := range []string{http.MethodPost, http.MethodDelete} {
					if node := day.anyController(); node != nil {
						if answer, err := day.Operators.Call(node, method, path, nil, ""); err == nil && answer.Outcome == "accepted" {
							accepted.Add(1)
						}
					}
				}
			}
		})
	}
	for going() {
		if day.NextRevision() {
			accepted.Add(1)
		}
	}
	storming.Wait()
	day.Say("the storm brought %d accepted changes", accepted.Load())
}

// race lets operators change the configuration from the same version; one wins
// at most.
func race(lifetime context.Context, day *Day) {
	for range 5 {
		node := day.anyController()
		if node == nil || !sleep(lifetime, 100*time.Millisecond) {
			return
		}
		current, err := day.Operators.Call(node, http.MethodGet, "/v1/configuration", nil, "")
		if err != nil || current.Status != http.StatusOK {
			continue
		}
		var racing sync.WaitGroup
		for range 4 {
			revision := day.takeRevision()
			racing.Go(func() {
				if node := day.anyController(); node != nil {
					day.Operators.PutRevision(node, revision, current)
				}
			})
		}
		racing.Wait()
	}
}

// largeConfiguration puts many thousand routes and takes them away again.
func largeConfiguration(lifetime context.Context, day *Day) {
	day.withManyRoutes(lifetime, func() { sleep(lifetime, 4*time.Second) })
}

// largeStorm has a storm of changes over a configuration of many thousand
// routes.
func largeStorm(lifetime context.Context, day *Day) {
	day.withManyRoutes(lifetime, func() { storm(lifetime, day) })
}

// withManyRoutes puts many thousand routes, lets something happen, and takes them
// away again.
func (day *Day) withManyRoutes(lifetime context.Context, act func()) {
	var many, none strings.Builder
	for number := range 8000 {
		comma := ","
		if number == 0 {
			comma = ""
		}
		_, _ = fmt.Fprintf(&many, `%s"many-%d":{"order":5,"match":{"service":"%s","origin":"nobody-%d"},"to":{"districts":["%s"]}}`,
			comma, number, day.Fleet.Deployment.Short.Service, number, day.Fleet.Deployment.Zones[number%3])
		_, _ = fmt.Fprintf(&none, `%s"many-%d":null`, comma, number)
	}
	for _, routes := range []string{many.String(), none.String()} {
		accepted := Await(20*time.Second, func() bool {
			node := day.anyController()
			if node == nil {
				return false
			}
			current, err := day.Operators.Call(node, http.MethodGet, "/v1/configuration", nil, "")
			if err != nil {
				return false
			}
			answer, err := day.Operators.Call(node, http.MethodPatch, "/v1/configuration", url.Values{"expected": {current.Version}, "change": {uuid.NewString()}}, `{"routes":{`+routes+`}}`)
			return err == nil && answer.Outcome == "accepted"
		})
		day.Say("a configuration of %d bytes was accepted: %v", len(routes), accepted)
		if routes == many.String() {
			act()
		}
		sleep(lifetime, time.Second)
	}
}

// exchangeSeeds gives every node other seeds and has it read them.
func exchangeSeeds(_ context.Context, day *Day) {
	var controllers, routers []string
	for _, node := range day.running(membership.Controller) {
		controllers = append(controllers, node.Node.Address)
	}
	for _, node := range day.running(membership.Router) {
		routers = append(routers, node.Node.Address)
	}
	for _, node := range day.running("") {
		node.Set("seeds", []string{routers[day.draw(len(routers)/2)], routers[len(routers)/2+day.draw(len(routers)/2)], controllers[day.draw(len(controllers))]})
		if err := node.WriteSettings(); err != nil {
			day.Say("%v", err)
		}
		node.Signal(syscall.SIGHUP)
	}
	day.Say("seeds exchanged")
}

// replaceCore replaces every controller by an empty one at a new address, one
// after another.
func replaceCore(lifetime context.Context, day *Day) {
	for number, old := range day.running(membership.Controller) {
		seeds := []string{}
		for _, other := range day.running(membership.Controller) {
			if other != old && len(seeds) < 2 {
				seeds = append(seeds, other.Node.Address)
			}
		}
		for _, other := range day.running(membership.Router) {
			if len(seeds) < 3 {
				seeds = append(seeds, other.Node.Address)
			}
		}
		addresses, err := freeAddresses(1)
		if err != nil {
			day.Say("%v", err)
			return
		}
		old.Kill()
		_ = old.WipeDisk()
		day.Fleet.Platform.UnlistNode(old.Node.Name)
		fresh := day.Fleet.AddNode(membership.Controller, fmt.Sprintf("expediter-%d", 11+number), addresses[0], old.Node.Zone, seeds)
		fresh.staged = old.staged
		day.begin(fresh)
		day.Say("%s gives way to %s: whole again %v", old.Node.Name, fresh.Node.Name, Await(25*time.Second, day.Fleet.CoreIsComplete))
		if lifetime.Err() != nil {
			return
		}
	}
}
