package replication

import (
	"seamloom.example/seamloom/internal/codec"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/features"
	"seamloom.example/seamloom/internal/lease"
	"seamloom.example/seamloom/internal/membership"
)

// Change alters the working state. Changes run one after another, in the order in which they
// were submitted; version is that of the batch they become part of, configurationVersion
// that of the configuration before the change. An error means that nothing was altered.
type Change func(state *State, version, configurationVersion Version) error

// RegisterMember records a member with the flags that it supports now.
func RegisterMember(member membership.Member) Change {
	return func(state *State, _, _ Version) error {
		if recorded, found := state.Members[member.Name]; found && recorded.Same(member) {
			return nil
		}
		state.Members[member.Name] = member
		state.MarkDirty(MembersSection)
		return nil
	}
}

// RemoveMember takes a stopped member out of the record, as an operator asks. The code is
// NoSuch when there is none.
func RemoveMember(name string) Change {
	return func(state *State, _, _ Version) error {
		if _, found := state.Members[name]; !found {
			return failure.New(failure.NoSuch, "no member "+name)
		}
		delete(state.Members, name)
		state.MarkDirty(MembersSection)
		return nil
	}
}

// EnableFlags enables every flag of this build that all recorded members support, running or
// stopped (paper, "Feature flags"). It is serialized with registrations: a member that was
// recorded before is counted, and one that comes later finds the flag enabled. Flags are
// never disabled.
func EnableFlags(supported features.List) Change {
	return func(state *State, _, _ Version) error {
		enabled := state.Flags.Enabled
		for _, flag := range supported {
			if len(state.Lacking(flag)) == 0 && len(state.Members) > 0 {
				enabled = enabled.With(flag)
			}
		}
		if len(enabled) != len(state.Flags.Enabled) {
			state.Flags.Enabled = enabled
			state.MarkDirty(FlagsSection)
		}
		return nil
	}
}

// Lacking names the recorded members that do not support a flag.
func (s *State) Lacking(flag features.Flag) []string {
	var lacking []string
	for name, member := range s.Members {
		if !member.Supported.Has(flag) {
			lacking = append(lacking, name)
		}
	}
	return lacking
}

// GrantRoles records new holders, each under a new fencing token, which never goes back. A
// grant made from a record that has changed since is skipped, and one to a restricted or
// unrecorded member, too.
func GrantRoles(grants []lease.Role, seen map[string]lease.Role) Change {
	return func(state *State, _, _ Version) error {
		for _, grant := range grants {
			if state.Roles.Roles[grant.Key] != seen[grant.Key] {
				continue
			}
			member, found := state.Members[grant.Holder]
			if !found || member.Restricted(state.Flags.Enabled) {
				continue
			}
			state.Roles.FencingToken++
			grant.FencingToken = state.Roles.FencingToken
			state.Roles.Roles[grant.Key] = grant
			state.MarkDirty(RolesSection)
		}
		return nil
	}
}

// RemoveServers drops the roles and orders of servers that are gone for good. A role that has
// another holder than seen, and its order, stay.
func RemoveServers(names []string, seen map[string]lease.Role) Change {
	return func(state *State, _, _ Version) error {
		for _, name := range names {
			key := lease.ServerKey(name)
			role, found := state.Roles.Roles[key]
			if found && role != seen[key] {
				continue
			}
			if found {
				delete(state.Roles.Roles, key)
				state.MarkDirty(RolesSection)
			}
			if _, found := state.Orders.Records[name]; found {
				delete(state.Orders.Records, name)
				state.MarkDirty(OrdersSection)
			}
		}
		return nil
	}
}

// IssueOrders records orders from the holder of the role lease.PartsKey. Orders under an older
// fencing token are refused as NotHolder, those of a node that lacks an enabled flag as
// Restricted.
func IssueOrders(role lease.Role, orders []codec.Order, supported features.List) Change {
	return func(state *State, _, _ Version) error {
		if state.Roles.Roles[lease.PartsKey] != role {
			return failure.New(failure.NotHolder, "the duty "+lease.PartsKey+" has changed hands")
		}
		enabled := state.Flags.Enabled
		if len(supported.Lacks(enabled)) > 0 {
			return failure.New(failure.Restricted, "this node may not write orders")
		}
		for _, o := range orders {
			record, err := codec.EncodeOrder(o, role.Holder, state.Orders.Number+1, enabled)
			if err != nil {
				return err
			}
			state.Orders.Number++
			state.Orders.Records[o.Server] = record
			state.MarkDirty(OrdersSection)
		}
		return nil
	}
}
