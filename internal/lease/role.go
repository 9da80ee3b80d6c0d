package lease

import (
	"sort"
	"strconv"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// Role is the exclusive right of one router, the holder, to carry out the task named by Key.
// Commands issued under a role carry its fencing token, which grows with every new holder, so
// that a recipient can refuse the commands of an earlier holder.
type Role struct {
	Key          string `msgpack:"key" json:"key"`
	Holder       string `msgpack:"holder" json:"holder"`
	FencingToken uint64 `msgpack:"fence" json:"fence"`
}

// ServerRolesKey is the key of the role whose holder decides which servers prefill and which decode.
const ServerRolesKey = "parts"

// ServerKey returns the key of the role whose holder sends commands to one server.
func ServerKey(server string) string { return "server/" + server }

// RoleLeases tracks when the primary last renewed the lease on each role. The holder and the
// fencing token of a role are durable, in the replicated state; the renewals are kept in memory
// only.
//
// Invariant: at most one router acts under a role at any time. A role is assigned to another
// router only Lease + Drift + Cooldown after its last renewal, or Cooldown after its holder
// released it (assignableFrom). Once the next holder is selected (reassigned), the role is never
// renewed for the previous holder. A new primary does not know the renewals of the old primary.
// It counts every recorded role as renewed at the time when it first sees the record. The old
// primary's own lease has expired by then, so it cannot have renewed the role any later. See
// docs/design/leases.md, "Roles".
type RoleLeases struct {
	mutex  sync.Mutex
	timing Timing
	// The maps are indexed by roleID.
	renewed  map[string]time.Time
	released map[string]time.Time
	// reassigned holds the roles whose next holder is selected but may not be recorded yet.
	// These roles are not renewed and stay assignable.
	reassigned map[string]bool
}

// NewRoleLeases returns a RoleLeases without renewals, for a controller that has just become
// primary.
func NewRoleLeases(timing Timing) *RoleLeases {
	return &RoleLeases{
		timing:     timing,
		renewed:    map[string]time.Time{},
		released:   map[string]time.Time{},
		reassigned: map[string]bool{},
	}
}

// Renew renews the leases on the recorded roles of a node and returns these roles, sorted by
// key. It skips roles that were released or reassigned, and roles for which another router that
// has been live for MinUptime is preferred, so that the node gives them up. It skips all roles of
// a node that is not a candidate. The candidates are the routers that may have roles, each with the
// time for which it has been live.
func (r *RoleLeases) Renew(now time.Time, node string, recorded map[string]Role, candidates map[string]time.Duration) []Role {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var renewed []Role
	for key, role := range recorded {
		if role.Holder != node {
			continue
		}
		if _, released := r.released[roleID(key, role.FencingToken)]; released || r.reassigned[roleID(key, role.FencingToken)] {
			continue
		}
		if _, eligible := candidates[node]; !eligible {
			continue
		}
		if better := r.preferred(key, candidates, true); better != "" && better != node {
			continue
		}
		r.renewed[roleID(key, role.FencingToken)] = now
		renewed = append(renewed, role)
	}
	sort.Slice(renewed, func(i, j int) bool { return renewed[i].Key < renewed[j].Key })
	return renewed
}

// Release records that a role is given up. The role is not renewed again under that fencing
// token and can be assigned after Cooldown.
func (r *RoleLeases) Release(now time.Time, role Role) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	id := roleID(role.Key, role.FencingToken)
	if _, found := r.released[id]; !found {
		r.released[id] = now
	}
}

// Assignments returns the roles to assign now: the roles with a wanted key that have no recorded
// holder, or whose holder's lease and cool-down are over. The returned roles have no fencing
// tokens; the change that records an assignment sets its token. A role without any candidate
// stays unassigned.
func (r *RoleLeases) Assignments(now time.Time, wanted []string, recorded map[string]Role, candidates map[string]time.Duration) []Role {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var assignments []Role
	for _, key := range wanted {
		role, found := recorded[key]
		if found && now.Before(r.assignableFrom(now, role)) {
			continue
		}
		if preferred := r.preferred(key, candidates, false); preferred != "" {
			if found {
				r.reassigned[roleID(key, role.FencingToken)] = true
			}
			assignments = append(assignments, Role{Key: key, Holder: preferred})
		}
	}
	return assignments
}

// assignableFrom returns when a role may be assigned to the next holder. A role without a renewal
// counts as renewed at the first call.
func (r *RoleLeases) assignableFrom(now time.Time, role Role) time.Time {
	id := roleID(role.Key, role.FencingToken)
	if r.reassigned[id] {
		return time.Time{}
	}
	if released, found := r.released[id]; found {
		return released.Add(r.timing.Cooldown)
	}
	last, found := r.renewed[id]
	if !found {
		last = now
		r.renewed[id] = now
	}
	return last.Add(r.timing.Lease + r.timing.Drift + r.timing.Cooldown)
}

// preferred returns the candidate with the highest rendezvous weight for the key, or "" without any
// candidate. With longLivedOnly it considers only candidates that have been live for MinUptime: a
// holder with a valid lease gives up its role only for such a router (see Renew).
func (r *RoleLeases) preferred(key string, candidates map[string]time.Duration, longLivedOnly bool) string {
	return membership.HighestWeight(key, func(yield func(string) bool) {
		for name, age := range candidates {
			if (!longLivedOnly || age >= r.timing.MinUptime) && !yield(name) {
				return
			}
		}
	})
}

// roleID returns the map key of a role under one fencing token.
func roleID(key string, fencingToken uint64) string {
	return key + "#" + strconv.FormatUint(fencingToken, 10)
}
