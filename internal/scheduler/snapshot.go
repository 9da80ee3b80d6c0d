package scheduler

import (
	"sort"
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// snapshot is the set of all listed servers. The set is immutable, and a new list gets a new snapshot;
// the servers' states change, and successive snapshots share them.
type snapshot struct {
	all    []*backend
	byName map[string]*backend
	// byService holds the servers of each service, including those that serve all services. Under the
	// empty name it holds those that serve all services.
	byService map[string][]*backend
	// zoneIndexes numbers the zones in the order of their first server by name.
	zoneIndexes map[string]int
	// router is the key of this router in rendezvous hashing.
	router uint64
	// disaggregated is set if the list gives any server a role.
	disaggregated bool
}

func newSnapshot() *snapshot {
	return &snapshot{byName: map[string]*backend{}, byService: map[string][]*backend{}, zoneIndexes: map[string]int{}}
}

// next returns the snapshot of a new list. Servers that keep their name and address keep their state.
// Of several entries with the same name, only the first is used.
func (sn *snapshot) next(now time.Time, servers []membership.Server) *snapshot {
	next := newSnapshot()
	next.router = sn.router
	sorted := append([]membership.Server(nil), servers...)
	sort.Slice(sorted, func(left, right int) bool { return sorted[left].Name < sorted[right].Name })
	var servingAll []*backend
	for _, server := range sorted {
		if _, duplicate := next.byName[server.Name]; duplicate {
			continue
		}
		index, known := next.zoneIndexes[server.Zone]
		if !known {
			index = len(next.zoneIndexes)
			next.zoneIndexes[server.Zone] = index
		}
		listed := &backend{server: server, key: nameKey(server.Name), zoneIndex: index}
		if earlier, found := sn.byName[server.Name]; found && earlier.server.Address == server.Address {
			listed.serverState = earlier.serverState
		} else {
			listed.serverState = newServerState()
		}
		if server.Warming > 0 {
			listed.markWarmingUntil(now.Add(server.Warming + sn.warmingMargin(listed.key)))
		}
		next.byName[server.Name] = listed
		next.disaggregated = next.disaggregated || server.Role != ""
		next.all = append(next.all, listed)
		if server.Service == "" {
			servingAll = append(servingAll, listed)
		} else {
			next.byService[server.Service] = append(next.byService[server.Service], listed)
		}
	}
	next.nameGroups()
	if len(servingAll) > 0 {
		for service, listed := range next.byService {
			next.byService[service] = append(listed, servingAll...)
		}
		next.byService[""] = servingAll
	}
	return next
}

// serving lists the servers of a service, including those that serve all services.
func (sn *snapshot) serving(service string) []*backend {
	if listed, found := sn.byService[service]; found {
		return listed
	}
	return sn.byService[""]
}

// demand returns the number of a service's prefill servers that had a call when they last reported, and
// the number of calls at its other servers. Reports older than demandWindow don't count.
func (sn *snapshot) demand(now time.Time, service string) (busy, running float64) {
	for _, b := range sn.byService[service] {
		report := b.lastReport.Load()
		if report == nil || now.Sub(report.at) > demandWindow {
			continue
		}
		calls := float64(report.load.Running + report.load.Waiting)
		if b.prefills() {
			busy += min(1, calls)
		} else {
			running += calls
		}
	}
	return busy, running
}

// nameKey returns the hash of a name, as a key for rendezvousWeight.
func nameKey(name string) uint64 { return membership.Weight("window", name) }

// rendezvousWeight returns the weight of a server for a chain of prompt segments in rendezvous (highest
// random weight) hashing. All routers compute the same weight. Other pairs of keys are hashed in the
// same way, such as a router and a server.
func rendezvousWeight(chain, server uint64) uint64 {
	sum := chain*0x9e3779b97f4a7c15 ^ server
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	sum ^= sum >> 33
	sum *= 0xc4ceb9fe1a85ec53
	return sum ^ sum>>33
}
