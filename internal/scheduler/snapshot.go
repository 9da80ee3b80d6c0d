package scheduler

import (
	"sort"
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// snapshot is all listed servers. It is never altered; a new list is a new snapshot.
type snapshot struct {
	all         []*backend
	byName      map[string]*backend
	byService   map[string][]*backend
	zoneIndexes map[string]int
	// router is the key of the router that it belongs to.
	router uint64
	// disaggregated tells that the list gives any server a role.
	disaggregated bool
}

func newSnapshot() *snapshot {
	return &snapshot{byName: map[string]*backend{}, byService: map[string][]*backend{}, zoneIndexes: map[string]int{}}
}

// next is the snapshot of a new list; servers that stay keep their state. Of two servers of one
// name the first counts.
func (sn *snapshot) next(now time.Time, servers []membership.Server) *snapshot {
	next := newSnapshot()
	next.router = sn.router
	sorted := append([]membership.Server(nil), servers...)
	sort.Slice(sorted, func(left, right int) bool { return sorted[left].Name < sorted[right].Name })
	var everywhere []*backend
	for _, server := range sorted {
		if _, twice := next.byName[server.Name]; twice {
			continue
		}
		place, known := next.zoneIndexes[server.Zone]
		if !known {
			place = len(next.zoneIndexes)
			next.zoneIndexes[server.Zone] = place
		}
		listed := &backend{server: server, key: nameKey(server.Name), zoneIndex: place}
		if earlier, found := sn.byName[server.Name]; found && earlier.server.Address == server.Address {
			listed.serverState = earlier.serverState
		} else {
			listed.serverState = newServerState()
		}
		if server.Warming > 0 {
			listed.markWarmingUntil(now.Add(server.Warming + sn.warmingMargin(listed.key)))
		}
		next.byName[server.Name] = listed
		next.disaggregated = next.disaggregated || server.Part != ""
		next.all = append(next.all, listed)
		if server.Service == "" {
			everywhere = append(everywhere, listed)
		} else {
			next.byService[server.Service] = append(next.byService[server.Service], listed)
		}
	}
	next.nameGroups()
	if len(everywhere) > 0 {
		for service, listed := range next.byService {
			next.byService[service] = append(listed, everywhere...)
		}
		next.byService[""] = everywhere
	}
	return next
}

// serving lists the servers of a service, with those that serve all services.
func (sn *snapshot) serving(service string) []*backend {
	if listed, found := sn.byService[service]; found {
		return listed
	}
	return sn.byService[""]
}

// demand is how many prefill servers of a service had a call when they last reported, and how
// many calls the decode servers had.
func (sn *snapshot) demand(now time.Time, service string) (busy, running float64) {
	for _, ba := range sn.byService[service] {
		report := ba.lastReport.Load()
		if report == nil || now.Sub(report.at) > demandWindow {
			continue
		}
		calls := float64(report.load.Running + report.load.Waiting)
		if ba.prefills() {
			busy += min(1, calls)
		} else {
			running += calls
		}
	}
	return busy, running
}

// nameKey is the number that stands for a name in rendezvous hashing.
func nameKey(name string) uint64 { return membership.Weight("window", name) }

// rendezvousWeight is the weight of a server for a chain in rendezvous (highest random weight)
// hashing: the same at every router.
func rendezvousWeight(chain, server uint64) uint64 {
	sum := chain*0x9e3779b97f4a7c15 ^ server
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	sum ^= sum >> 33
	sum *= 0xc4ceb9fe1a85ec53
	return sum ^ sum>>33
}
