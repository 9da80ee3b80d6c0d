package simulation

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/google/uuid"

	"seamloom.example/seamloom/internal/adapters/storage"
	"seamloom.example/seamloom/internal/controlplane"
	"seamloom.example/seamloom/internal/dataplane"
	"seamloom.example/seamloom/internal/features"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/scheduler"
	"seamloom.example/seamloom/internal/testbed/fleet"

	"seamloom.example/seamloom"
)

// World is one simulated fleet with its surroundings, in virtual time.
type World struct {
	timeline
	Events     *fleet.EventLog
	deployment fleet.Deployment
	random     *rand.Rand
	// running is the thread that is running, or nil.
	running *thread
	// dead holds ended incarnations whose threads are not yet unwound.
	dead         []*incarnation
	machines     []*machine
	byAddress    map[string]string
	incarnations map[string]*incarnation
	servers      map[string]*modelServer
	plans        []fleet.ServerPlan
	platform     platform
	links        map[[2]string]*link
	// slowDials is the share of connections that take long to open, loseAnswers the share of replies
	// that are lost after the server has done the work.
	slowDials   float64
	loseAnswers float64
	// outside is the process in which clients, operators and faults run; it never ends during a
	// day.
	outside    *incarnation
	encounters map[string]int
	nonceCount uint64
	// seenKeys holds the record keys and flags that are already in the event log.
	seenKeys map[string]bool
	revision int
	// long and short are the present rates of the two kinds of requests, in requests per second.
	long, short  float64
	requestCount int
	faultsOver   bool
	twoPrimaries int
	// snapshotBytes counts the bytes of complete replicas that were sent.
	snapshotBytes int
	fixedParts    bool
	// settings are the fleet's settings.
	settings Settings
	// listReads holds the times at which routers read the platform's list of servers.
	listReads []time.Duration
	// reportReads counts the reads of servers' load reports for the scheduler.
	reportReads int
	// claiming counts each router's requests in progress that need a claim.
	claiming map[string]int
	// evacuating holds the zones that operators evacuate at present.
	evacuating map[string]bool
	trace      hash.Hash
	// calls counts the outcomes of opaque calls.
	calls *CallCounter
	// layout is set if the world was made by NewLaidOut.
	layout *Layout
	// traffic counts the messages between nodes by path.
	traffic map[string]Traffic
	// diskSync is how long a sync of a new disk takes.
	diskSync time.Duration
	// Log is called with each line of the trace.
	Log func(line string)
}

// machine is the host of one node. It has an address, the settings of the node's next process, and a
// disk if the node is a controller.
type machine struct {
	name    string
	kind    membership.NodeKind
	address string
	zone    string
	seeds   []string
	// withheld holds the features that the machine's release lacks; it is empty for the newest
	// release.
	withheld features.List
	disk     *disk
	drift    float64
	// off means that the machine has no power, gone that the machine was removed for good.
	off, gone   bool
	incarnation *incarnation
	router      *dataplane.Router
	control     *controlplane.Controller
	// calls serves opaque calls, if the world has them.
	calls *dataplane.Calls
	// startCount counts the processes that were started on the machine.
	startCount int
}

var epoch = time.Unix(1_800_000_000, 0).UTC()

// New returns the world of a deployment. Its servers are running and not warmed up; its nodes
// are not started yet.
func New(deployment fleet.Deployment, seed uint64) *World {
	world := &World{
		deployment:   deployment,
		random:       rand.New(rand.NewPCG(seed, 0x5ea)),
		byAddress:    map[string]string{},
		incarnations: map[string]*incarnation{},
		servers:      map[string]*modelServer{},
		links:        map[[2]string]*link{},
		encounters:   map[string]int{},
		seenKeys:     map[string]bool{},
		claiming:     map[string]int{},
		evacuating:   map[string]bool{},
		calls:        &CallCounter{},
		trace:        sha256.New(),
		traffic:      map[string]Traffic{},
		Log:          func(string) {},
	}
	world.Events = &fleet.EventLog{Clock: func() time.Time { return epoch.Add(world.now) }}
	world.platform.servers = map[string]membership.Server{}
	world.outside = world.newIncarnation("outside", "outside", 0)
	for position := range deployment.Servers {
		zone := deployment.Zones[position%len(deployment.Zones)]
		world.plans = append(world.plans, fleet.DefaultPlan("stove-"+strconv.Itoa(position+1), zone))
	}
	for _, plan := range world.plans {
		world.startServer(plan)
	}
	seeds := []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}
	for position := range 3 + deployment.Routers {
		zone := deployment.Zones[position%len(deployment.Zones)]
		address := "10.0.0." + strconv.Itoa(position+1) + ":1"
		if position < 3 {
			world.addMachine(membership.Controller, "expediter-"+strconv.Itoa(position+1), address, zone, seeds)
		} else {
			world.addMachine(membership.Router, "courier-"+strconv.Itoa(position-2), address, zone, seeds)
		}
	}
	return world
}

// addMachine adds a machine, with an empty disk if it is for a controller, and starts no process.
func (w *World) addMachine(kind membership.NodeKind, name, address, zone string, seeds []string) *machine {
	added := &machine{
		name:    name,
		kind:    kind,
		address: address,
		zone:    zone,
		seeds:   seeds,
		drift:   (w.random.Float64() - 0.5) / 25,
	}
	if kind == membership.Controller {
		added.disk = newDisk(w)
	}
	w.machines = append(w.machines, added)
	w.byAddress[address] = name
	return added
}

// tracef adds a line to the trace.
func (w *World) tracef(format string, values ...any) {
	line := fmt.Sprintf("%9.4f ", w.now.Seconds()) + fmt.Sprintf(format, values...)
	_, _ = w.trace.Write([]byte(line + "\n"))
	w.Log(line)
}

// Trace returns a digest of the trace's lines, of the event log and of the number of steps.
func (w *World) Trace() string {
	digest := sha256.New()
	_, _ = digest.Write(w.trace.Sum(nil))
	encoder := json.NewEncoder(digest)
	for _, entry := range w.Events.Entries() {
		_ = encoder.Encode(entry)
	}
	_ = binary.Write(digest, binary.BigEndian, w.steps)
	return hex.EncodeToString(digest.Sum(nil))
}

// encounter counts a situation in which a rule could be broken.
func (w *World) encounter(situation string) { w.encounters[situation]++ }

// Encounters returns how often each situation occurred in which a rule could be broken.
func (w *World) Encounters() map[string]int { return w.encounters }

func (w *World) nameAt(address string) string { return w.byAddress[address] }

// isPowered reports whether a machine is on. A machine that is on refuses connections to a port
// without a listener; a machine that is off doesn't answer at all. A name without a machine
// counts as on.
func (w *World) isPowered(name string) bool {
	for _, m := range w.machines {
		if m.name == name {
			return !m.off && !m.gone
		}
	}
	return true
}

// nonce returns a text that is unique in this world.
func (w *World) nonce() string {
	w.nonceCount++
	return "n" + strconv.FormatUint(w.nonceCount, 36)
}

// requestID returns a UUID of version 7 with the present time.
func (w *World) requestID() string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(epoch.Add(w.now).UnixMilli())<<16|uint64(w.random.IntN(1<<12)))
	binary.BigEndian.PutUint64(id[8:], w.random.Uint64())
	id[6], id[8] = id[6]&0x0f|0x70, id[8]&0x3f|0x80
	return id.String()
}

// newIncarnation registers a new process, which replaces the earlier one with the name.
func (w *World) newIncarnation(name, address string, drift float64) *incarnation {
	process := &incarnation{world: w, name: name, address: address, startedAt: w.now, wall: epoch.Add(w.now), drift: drift,
		threads: map[*thread]bool{}, onEndCallbacks: map[uint64]func(){}}
	w.incarnations[name] = process
	return process
}

// startServer starts a cold model server at a new address and lists it with the platform.
func (w *World) startServer(plan fleet.ServerPlan) {
	w.nonceCount++
	address := "10.1." + strconv.FormatUint(w.nonceCount>>8, 10) + "." + strconv.FormatUint(w.nonceCount&0xff, 10) + ":1"
	process := w.newIncarnation(plan.Name, address, 0)
	w.byAddress[address] = plan.Name
	w.servers[plan.Name] = &modelServer{
		plan:        plan,
		incarnation: process,
		engine:      fleet.NewEngine(plan, w.Events, process, w.nonce, w.fetchFrom(process)),
		calls:       &callServer{world: w, name: plan.Name, handles: map[string]*callMemory{}},
	}
	w.platform.servers[plan.Name] = membership.Server{Name: plan.Name, Address: address, Zone: plan.Zone}
}

// crashServer crashes a model server, unless it has ended already.
func (w *World) crashServer(name string) {
	if s := w.servers[name]; !s.incarnation.ended {
		s.engine.Die()
		s.incarnation.end()
	}
}

// start starts a machine's process, unless one is running there or the machine is gone.
func (w *World) start(m *machine) {
	if m.gone || (m.incarnation != nil && !m.incarnation.ended) {
		return
	}
	m.off = false
	m.startCount++
	process := w.newIncarnation(m.name, m.address, m.drift)
	m.incarnation, m.router, m.control = process, nil, nil
	supported := features.Supported(m.withheld)
	w.tracef("%s starts, %d flags", m.name, len(supported))
	if len(m.withheld) == 0 {
		// A process of the newest release can read the new formats from its start on.
		w.recordMember(m)
	}
	observe := func(event string, detail ...any) { w.tracef("%s %s %v", m.name, event, detail) }
	if m.kind == membership.Controller {
		process.Go(func() { w.runController(m, process, supported, observe) })
		return
	}
	servers := &serverClient{incarnation: process, running: map[string]*serverExchange{}}
	options := dataplane.Options{
		Options:   seamloom.Options{Router: m.name, Zone: m.zone, Supported: supported, FixedRoles: w.fixedParts},
		Address:   m.address,
		Seeds:     m.seeds,
		Nonce:     w.nonce,
		OnEnded:   ignoreEnded,
		Directory: directory{w, process},
	}
	options.ServeWithoutLease = w.settings.ServeWithoutLease
	if w.settings.Calls {
		options.CallService = func(*scheduler.Scheduler) dataplane.CallService { return unusedCallService{} }
	}
	if w.layout == nil {
		options.LoadReader = directory{w, process}
	}
	w.prepareCalls(m, process, &options)
	router := dataplane.NewRouter(process, rpcClient{process}, servers, &forwarder{incarnation: process}, options, observe)
	m.router = router
	process.handle = router.Handlers().Handle
	for _, loop := range router.Loops() {
		process.Go(loop)
	}
	if len(m.withheld) > 0 {
		w.recordOldMember(m, process, router.LastUpdateAt)
	}
}

// runController opens a machine's disk and starts the controller's threads.
func (w *World) runController(m *machine, process *incarnation, supported features.List, observe func(string, ...any)) {
	m.disk.owner = process
	witnessDirectory, _ := storage.OpenDirectory(m.disk, "keeper")
	replicaDirectory, _ := storage.OpenDirectory(m.disk, "larder")
	options := controlplane.Options{
		Name:            m.name,
		Address:         m.address,
		Zone:            m.zone,
		Seeds:           m.seeds,
		Supported:       supported,
		FlagStableTime:  2 * time.Second,
		ToleratedLosses: w.toleratedLosses(),
		NewIdentity:     newIdentity(w, m),
		Directory:       directory{w, process},
		LoadReader:      directory{w, process},
	}
	options.AcknowledgeWait, options.RetireAfter, options.CatchUp =
		w.settings.AcknowledgeWait, w.settings.RetireAfter, w.settings.CatchUp
	options.JoinsOnly = w.settings.JoinOnly || w.settings.FormOnce && m.startCount > 1 || w.settings.FormOnce && w.now > warmUpTime
	control, blank, err := controlplane.Open(process, rpcClient{process}, witnessDirectory, replicaDirectory, options, observe)
	if err != nil {
		w.tracef("%s can't open its disk: %v", m.name, err)
		process.end()
		return
	}
	w.tracef("%s opened its disk, blank %v", m.name, blank)
	m.control = control
	process.handle = control.Handlers().Handle
	for _, loop := range control.Loops() {
		process.Go(loop)
	}
	if len(m.withheld) > 0 {
		w.recordOldMember(m, process, control.LastUpdateAt)
	}
}

// kill ends a machine's process.
func (w *World) kill(m *machine) {
	if m.incarnation == nil || m.incarnation.ended {
		return
	}
	if m.router != nil && w.claiming[m.name] > 0 {
		w.encounter("a router killed with a claim in flight")
	}
	if m.router != nil && m.router.Core().InFlight() > 0 {
		w.encounter("a router killed with requests in flight")
	}
	if m.control != nil && m.control.Coordinator().HasLease() {
		w.encounter("a primary killed while it held the lease")
	}
	w.tracef("%s is killed", m.name)
	m.incarnation.end()
	if m.disk != nil {
		m.disk.owner = nil
	}
}

// powerOff powers a machine off. Its disk loses everything that was not synced, and connections
// to the machine time out instead of being refused.
func (w *World) powerOff(name string) {
	for _, m := range w.machines {
		if m.name == name {
			m.off = true
			w.kill(m)
			if m.disk != nil {
				m.disk.dropUnsynced()
				m.disk.powerFailsIn = 0
			}
		}
	}
}

// listNodes returns the nodes that the platform lists: all machines that are not gone.
func (w *World) listNodes() []membership.Node {
	var nodes []membership.Node
	for _, m := range w.machines {
		if !m.gone {
			nodes = append(nodes, membership.Node{Name: m.name, Kind: m.kind, Address: m.address, Zone: m.zone})
		}
	}
	return nodes
}

// never is the condition of a wait that only its timeout ends.
func never() bool { return false }
