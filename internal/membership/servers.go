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
	// Service is the service that the server belongs to; empty if it serves all services.
	Service string `json:"service,omitempty" msgpack:"service,omitempty"`
	// Role is the role that the platform's list gives the server: "prefill", "decode", or empty for
	// both.
	Role string `json:"part,omitempty" msgpack:"part,omitempty"`
	// Models are the model weights that the server has; empty if it has all.
	Models []string `json:"models,omitempty" msgpack:"models,omitempty"`
	// Slots is how many requests the server can run at once; zero if unknown.
	Slots int `json:"slots,omitempty" msgpack:"slots,omitempty"`
	// Warming is the remaining time of the server's slow start when the list was read; zero if the
	// server is not in slow start.
	Warming time.Duration `json:"warming,omitempty" msgpack:"warming,omitempty"`
}

// equal reports whether two entries of one server are equal except for Warming.
func (s Server) equal(other Server) bool {
	return s.Name == other.Name && s.Address == other.Address && s.Zone == other.Zone && s.Leaving == other.Leaving &&
		s.Service == other.Service && s.Role == other.Role && s.Slots == other.Slots && slices.Equal(s.Models, other.Models)
}

// ServerList is a node's copy of the platform's list of servers. Several nodes read the platform's
// list, and the results of these reads arrive late and out of order. Therefore a server that a read
// has shown as leaving stays leaving, and a removed server is not added again by a read that took
// place less than listLag after its removal. The zero value is empty and ready to use. ServerList is
// not safe for concurrent use.
type ServerList struct {
	// at is the time of the newest read of the list.
	at      time.Time
	servers []Server
	// warmAt holds the end of each server's slow start, by the clock of the node that read the list.
	warmAt map[string]time.Time
	// leaving holds the servers that a read has shown as leaving.
	leaving map[string]bool
	// removed holds, for each removed server, the time of the first read without it.
	removed map[string]time.Time
	// changes is the number of changes of the list. changedIn holds the number of the latest change
	// of each server that is listed or was removed within the last maxChanges changes.
	changes   uint64
	changedIn map[string]uint64
}

const (
	// listLag bounds how outdated a read may be: a read may return an older state of the platform's list
	// than an earlier read did, but only a state less than listLag older.
	listLag = time.Second
	// removedRetention is how long the removal of a server is remembered.
	removedRetention = time.Minute
	// minWarmingChange is the least change of the end of a server's slow start that counts as a
	// change of the list.
	minWarmingChange = 300 * time.Millisecond
	// maxChanges is the maximum number of changes since the earlier one that ChangesSince accepts.
	maxChanges = 32
)

// Update replaces the list by one that was read at the given time, and reports whether the list has
// changed. The first list always counts as a change. A different end of a slow start counts only if the
// difference is at least minWarmingChange. A list that was read before the newest one is ignored.
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
		// Reads give slightly different times for the same end of a slow start.
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
	// The order has to be the same on all nodes, whether they received the list or its changes.
	slices.SortStableFunc(next, func(left, right Server) int { return strings.Compare(left.Name, right.Name) })
	l.at, l.servers, l.warmAt = at, next, warmAt
	if len(changed) == 0 && !first {
		return false
	}
	l.recordChange(changed)
	return true
}

// recordChange counts a change of the list, in which the named servers changed.
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

// Changes returns the number of changes of the list so far.
func (l *ServerList) Changes() uint64 { return l.changes }

// ChangesSince returns the servers that were added or changed after an earlier change, as counted
// by Changes, and the names of the servers that were removed after it. known is false if more than
// maxChanges changes have followed the earlier one, or if that one never happened.
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

// forget deletes the state of servers that were removed more than removedRetention ago.
func (l *ServerList) forget(now time.Time) {
	for name, removed := range l.removed {
		if now.Sub(removed) > removedRetention {
			delete(l.removed, name)
			delete(l.leaving, name)
		}
	}
}

// Confirm records that the list was read again at the given time and had not changed.
func (l *ServerList) Confirm(at time.Time) {
	if !l.at.IsZero() && at.After(l.at) {
		l.at = at
	}
}

// At returns the time at which the list was last read; zero if it never was.
func (l *ServerList) At() time.Time { return l.at }

// Len returns the number of listed servers.
func (l *ServerList) Len() int { return len(l.servers) }

// Servers returns the list, with the remaining slow start of each server at the given time.
func (l *ServerList) Servers(now time.Time) []Server {
	servers := slices.Clone(l.servers)
	for position := range servers {
		servers[position].Warming = max(0, l.warmAt[servers[position].Name].Sub(now))
	}
	return servers
}
