package membership

import (
	"slices"
	"strings"
	"time"
)

// Server is a model server as the platform lists it.
type Server struct {
	Name    string `json:"name" msgpack:"name"`
	Address string `json:"address" msgpack:"address"`
	Zone    string `json:"district" msgpack:"district"`
	Leaving bool   `json:"leaving" msgpack:"leaving"`
	// Service is the service that the server works for; empty: for all.
	Service string `json:"service,omitempty" msgpack:"service,omitempty"`
	// Part is what the list says that the server does: "prefill" or "decode".
	Part string `json:"part,omitempty" msgpack:"part,omitempty"`
	// Models are the weights that it has.
	Models []string `json:"models,omitempty" msgpack:"models,omitempty"`
	// Slots is how many requests it works on at once; zero: unknown.
	Slots int `json:"slots,omitempty" msgpack:"slots,omitempty"`
	// Warming is for how much longer it warms up, as of when the list was read; zero: warm.
	Warming time.Duration `json:"warming,omitempty" msgpack:"warming,omitempty"`
}

// equal tells whether two entries of one server report the same, its warming aside.
func (s Server) equal(other Server) bool {
	return s.Name == other.Name && s.Address == other.Address && s.Zone == other.Zone && s.Leaving == other.Leaving &&
		s.Service == other.Service && s.Part == other.Part && s.Slots == other.Slots && slices.Equal(s.Models, other.Models)
}

// ServerList is what a node knows of the platform's list of servers, from whoever read
// it. Reads come from several readers, late and out of order: a server that was once seen
// leaving stays leaving, and one that was removed is not brought back by a read that is no
// newer. The zero value is empty and ready to use. It is not safe for concurrent use.
type ServerList struct {
	// at is when the newest read took place.
	at      time.Time
	servers []Server
	// warmAt is when a server is warm, by the reader's clock.
	warmAt  map[string]time.Time
	leaving map[string]bool
	// removed is when a removed server was first missing.
	removed map[string]time.Time
	// changes counts the changes, and changedIn is the last one of each server that is listed
	// or was removed within the last maxChanges.
	changes   uint64
	changedIn map[string]uint64
}

const (
	// listLag is how far two reads of one list may differ in what they know. The
	// value is ours.
	listLag = time.Second
	// removedRetention is for how long a removed server is remembered.
	removedRetention = time.Minute
	// minWarmingChange is the least change of the end of a server's warming that counts as one.
	minWarmingChange = 300 * time.Millisecond
	// maxChanges is how many changes back ChangesSince reaches.
	maxChanges = 32
)

// Update takes over a list that was read at a moment and tells whether anything changed that
// matters to the scheduler. A list older than the newest one known changes nothing.
func (l *ServerList) Update(at time.Time, servers []Server) bool {
	if !l.at.IsZero() && at.Before(l.at) {
		return false
	}
	first := l.at.IsZero()
	if l.leaving == nil {
		l.leaving, l.removed, l.changedIn = map[string]bool{}, map[string]time.Time{}, map[string]uint64{}
	}
	before := map[string]Server{}
	for _, server := range l.servers {
		before[server.Name] = server
	}
	var next []Server
	warmAt := map[string]time.Time{}
	changed := map[string]bool{}
	for _, server := range servers {
		if removed, found := l.removed[server.Name]; found && at.Sub(removed) < listLag {
			continue
		}
		delete(l.removed, server.Name)
		until := at.Add(server.Warming)
		server.Warming = 0
		if server.Leaving {
			l.leaving[server.Name] = true
		}
		server.Leaving = l.leaving[server.Name]
		earlier, known := before[server.Name]
		delete(before, server.Name)
		if !known || !earlier.equal(server) {
			changed[server.Name] = true
		}
		// Each read reports the same end a little differently.
		if old := l.warmAt[server.Name]; known && until.Sub(old).Abs() < minWarmingChange {
			until = old
		} else if known && (until.After(at) || old.After(at)) {
			changed[server.Name] = true
		}
		warmAt[server.Name] = until
		next = append(next, server)
	}
	for name := range before {
		changed[name] = true
		l.removed[name] = at
	}
	l.forget(at)
	// All nodes have one order, whether they were sent the list or its changes.
	slices.SortStableFunc(next, func(left, right Server) int { return strings.Compare(left.Name, right.Name) })
	l.at, l.servers, l.warmAt = at, next, warmAt
	if len(changed) == 0 && !first {
		return false
	}
	l.recordChange(changed)
	return true
}

// recordChange counts a change of the named servers.
func (l *ServerList) recordChange(names map[string]bool) {
	l.changes++
	for name := range names {
		l.changedIn[name] = l.changes
	}
	for name, number := range l.changedIn {
		if _, listed := l.warmAt[name]; !listed && number+maxChanges < l.changes {
			delete(l.changedIn, name)
		}
	}
}

// Changes is how many changes the list has seen.
func (l *ServerList) Changes() uint64 { return l.changes }

// ChangesSince gives the servers that are new or differ from those after an earlier change, as
// counted by Changes, and the names of those that were removed since. False means that so old a
// change is not remembered.
func (l *ServerList) ChangesSince(now time.Time, change uint64) (changed []Server, removed []string, known bool) {
	if change == 0 || change > l.changes || change+maxChanges < l.changes {
		return nil, nil, false
	}
	for _, server := range l.Servers(now) {
		if l.changedIn[server.Name] > change {
			changed = append(changed, server)
		}
	}
	for name, number := range l.changedIn {
		if _, listed := l.warmAt[name]; !listed && number > change {
			removed = append(removed, name)
		}
	}
	slices.Sort(removed)
	return changed, removed, true
}

// forget drops the removed servers whose retention has passed.
func (l *ServerList) forget(now time.Time) {
	for name, removed := range l.removed {
		if now.Sub(removed) > removedRetention {
			delete(l.removed, name)
			delete(l.leaving, name)
		}
	}
}

// Confirm notes that the list was read again at a moment and had not changed.
func (l *ServerList) Confirm(at time.Time) {
	if !l.at.IsZero() && at.After(l.at) {
		l.at = at
	}
}

// At is when the list was read; zero if it never was.
func (l *ServerList) At() time.Time { return l.at }

// Len is how many servers are listed.
func (l *ServerList) Len() int { return len(l.servers) }

// Servers is the list, with each server's warming as it is now.
func (l *ServerList) Servers(now time.Time) []Server {
	servers := slices.Clone(l.servers)
	for position := range servers {
		servers[position].Warming = max(0, l.warmAt[servers[position].Name].Sub(now))
	}
	return servers
}
