package replication

import (
	"seamloom.example/seamloom/internal/codec"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/features"
	"seamloom.example/seamloom/internal/lease"
	"seamloom.example/seamloom/internal/membership"
)

// Change alters the working state. Changes run one after another, in the order in which they were
// submitted. version is the version of the batch to which the change belongs, configurationVersion
// the version of the configuration before the change. After an error the state must be unaltered.
type Change func(state *State, version, configurationVersion Version) error

// RegisterMember records a member with the flags that it supports.
func RegisterMember(member membership.Member) Change {
	return func(state *State, _, _ Version) error {
		if recorded, found := state.Members[member.Name]; found && recorded.EqualExceptSince(member) {
			return nil
		}
		state.Members[member.Name] = member
		state.MarkDirty(MembersSection)
		return nil
	}
}

// RemoveMember removes a stopped member from the record at the request of an operator. It fails
// with NoSuch when the member is not recorded.
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
// stopped (paper, "Feature flags"). Changes run one after another, so that a member that was
// registered before is counted, and a member that registers later finds the flag enabled. Flags are
// never disabled.
func EnableFlags(supported features.List) Change {
	return func(state *State, _, _ Version) error {
		enabled := state.Flags.Enabled
		for _, flag := range supported {
			if len(state.MembersWithout(flag)) == 0 && len(state.Members) > 0 {
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

// MembersWithout returns the names of the recorded members that do not support a flag.
func (s *State) MembersWithout(flag features.Flag) []string {
	var lacking []string
	for name, member := range s.Members {
		if !member.Supported.Has(flag) {
			lacking = append(lacking, name)
		}
	}
	return lacking
}

// GrantRoles records new holders of roles, each with a new fencing token; tokens never decrease. It
// skips a grant whose role has changed since the caller read it into seen, and a grant to a
// restricted or unrecorded member.
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

// RemoveServers removes the roles and orders of servers that are gone for good. It keeps a role,
// and its order, if the role has changed since the caller read it into seen.
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

// IssueOrders records orders from the holder of the role lease.ServerRolesKey. It refuses orders
// with NotLeaseHolder when the recorded role has another holder or fencing token, and with
// Restricted when the node that sends them lacks an enabled flag.
func IssueOrders(role lease.Role, orders []codec.Order, supported features.List) Change {
	return func(state *State, _, _ Version) error {
		if state.Roles.Roles[lease.ServerRolesKey] != role {
			return failure.New(failure.NotLeaseHolder, "the role "+lease.ServerRolesKey+" has another holder or fencing token")
		}
		enabled := state.Flags.Enabled
		if len(supported.Missing(enabled)) > 0 {
			return failure.New(failure.Restricted, "this node lacks an enabled flag and may not write orders")
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
