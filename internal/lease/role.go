package lease

import (
	"sort"
	"strconv"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// Role is the exclusive right to one task, by its key, that one router has at a time.
// Commands made under the role carry its fencing token, which grows with every new holder, so
// that their recipient can refuse those of an earlier one.
type Role struct {
	Key          string `msgpack:"key" json:"key"`
	Holder       string `msgpack:"holder" json:"holder"`
	FencingToken uint64 `msgpack:"fence" json:"fence"`
}

// PartsKey is the key of the role that decides which servers prefill and which decode.
const PartsKey = "parts"

// ServerKey returns the key of the role that sends commands to one server.
func ServerKey(server string) string { return "server/" + server }

// RoleLeases is the primary's memory of when the lease on each role ends. Holder and fencing
// token of a role are durable, in the replicated state; the end of its lease is not.
//
// Invariant: at most one router acts under a role at any time. A role is assigned to another
// router only Lease + Drift + Cooldown after its last renewal, or Cooldown after its holder
// released it (assignableFrom), and is not renewed any more from the moment at which the next
// holder was chosen (reassigned). A new primary knows of no renewals: it takes every recorded
// holder to have renewed when it first sees the record, which is not before the old primary
// renewed for the last time, because the old primary's own lease is over by then. See
// docs/design/leases.md, "Duties".
type RoleLeases struct {
	mutex  sync.Mutex
	timing Timing
	// The maps are indexed by roleID.
	renewed  map[string]time.Time
	released map[string]time.Time
	// reassigned are the roles for which a next holder was chosen, which may not be recorded
	// yet: they are renewed no more, and stay assignable.
	reassigned map[string]bool
}

// NewRoleLeases returns the empty memory of a controller that has just become primary.
func NewRoleLeases(timing Timing) *RoleLeases {
	return &RoleLeases{
		timing:     timing,
		renewed:    map[string]time.Time{},
		released:   map[string]time.Time{},
		reassigned: map[string]bool{},
	}
}

// Renew renews the leases on the recorded roles of a node and returns these roles, in the
// order of their keys. It leaves out roles that were released or reassigned, and those for
// which another router that has been live for MinUptime is preferred, so that the node
// releases them. Candidates are the routers that may have roles, with how long each has been
// live.
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
		if _, may := candidates[node]; !may {
			continue
		}
		if desired := r.preferred(key, candidates, true); desired != "" && desired != node {
			continue
		}
		r.renewed[roleID(key, role.FencingToken)] = now
		renewed = append(renewed, role)
	}
	sort.Slice(renewed, func(i, j int) bool { return renewed[i].Key < renewed[j].Key })
	return renewed
}

// Release records that the holder has given up a role by itself. The role is not renewed again
// under that fencing token, and is assignable after Cooldown.
func (r *RoleLeases) Release(now time.Time, role Role) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	name := roleID(role.Key, role.FencingToken)
	if _, found := r.released[name]; !found {
		r.released[name] = now
	}
}

// Assignments returns the roles to assign now, without fencing tokens, which the recorded change
// gives: wanted keys that have no recorded holder, or whose holder's lease and cool-down are
// over. A role without any candidate stays unassigned.
func (r *RoleLeases) Assignments(now time.Time, wanted []string, recorded map[string]Role, candidates map[string]time.Duration) []Role {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var grants []Role
	for _, key := range wanted {
		role, found := recorded[key]
		if found && now.Before(r.assignableFrom(now, role)) {
			continue
		}
		if preferred := r.preferred(key, candidates, false); preferred != "" {
			if found {
				r.reassigned[roleID(key, role.FencingToken)] = true
			}
			grants = append(grants, Role{Key: key, Holder: preferred})
		}
	}
	return grants
}

// assignableFrom returns when a role may be assigned to the next holder. A role that has not
// been renewed yet counts as renewed when it is first seen.
func (r *RoleLeases) assignableFrom(now time.Time, role Role) time.Time {
	name := roleID(role.Key, role.FencingToken)
	if r.reassigned[name] {
		return time.Time{}
	}
	if released, found := r.released[name]; found {
		return released.Add(r.timing.Cooldown)
	}
	last, found := r.renewed[name]
	if !found {
		last = now
		r.renewed[name] = now
	}
	return last.Add(r.timing.Lease + r.timing.Drift + r.timing.Cooldown)
}

// desired is the live node with the heaviest weight for the key. A key that
// somebody has moves only to a node that has been live for some time.
func (r *RoleLeases) preferred(key string, candidates map[string]time.Duration, longLivedOnly bool) string {
	return membership.Heaviest(key, func(yield func(string) bool) {
		for name, age := range candidates {
			if (!longLivedOnly || age >= r.timing.MinUptime) && !yield(name) {
				return
			}
		}
	})
}

// roleID names a role under one fencing token.
func roleID(key string, fencingToken uint64) string {
	return key + "#" + strconv.FormatUint(fencingToken, 10)
}
