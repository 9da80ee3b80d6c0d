package replication

import (
	"bytes"
	"time"

	"seamloom.example/seamloom/internal/codec"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/features"
	"seamloom.example/seamloom/internal/lease"
	"seamloom.example/seamloom/internal/membership"
)

// Change alters the state in its turn, one after another, as the version that
// it will be part of. MenuVersion is that of the configuration before it.
type Change func(state *State, version, configurationVersion Version) error

// ChangeConfiguration replaces the configuration's text by what edit makes of it. With
// an expected version it is refused when that is not the current one. An edit
// that was prepared for the version it meets is not made again, so that a large
// configuration is not checked in the changes' turn; one that was prepared for
// another version is told that the configuration has moved.
func ChangeConfiguration(id, digest string, expected *Version, prepared PreparedConfiguration, edit func(text []byte) ([]byte, error)) Change {
	return func(state *State, version, configurationVersion Version) error {
		for _, record := range state.Changes {
			if id == "" || record.ID != id {
				continue
			}
			if record.Digest == digest {
				// The same change again, as a link may bring it twice: it was
				// accepted, and saying anything else would be wrong.
				return nil
			}
			return failure.New(failure.Duplicate, "another change with the id "+id+" was accepted as version "+record.Version.String())
		}
		if expected != nil && *expected != configurationVersion {
			return failure.New(failure.VersionConflict, configurationVersion.String())
		}
		if !prepared.prepared || prepared.base != configurationVersion {
			if prepared.prepared && len(state.Configuration) >= LargeConfiguration {
				return failure.New(failure.Moved, configurationVersion.String())
			}
			prepared = PrepareConfiguration(configurationVersion, state.Configuration, edit, false)
		}
		if prepared.err != nil {
			return prepared.err
		}
		if id == "" && bytes.Equal(prepared.text, state.Configuration) {
			// What it wants holds already.
			return nil
		}
		if id != "" && len(state.Changes) >= MaxChangeRecords {
			return failure.New(failure.Busy, "too many changes were accepted lately; ask again")
		}
		state.Configuration = prepared.text
		state.MarkDirty(ConfigurationSection)
		if id != "" {
			state.Changes = append(append([]ChangeRecord(nil), state.Changes...), ChangeRecord{ID: id, Version: version, Digest: digest, At: state.changeTime()})
			state.MarkDirty(ChangesSection)
		}
		return nil
	}
}

// RegisterMember records a member with its supported list, as it says now.
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

// RemoveMember takes a stopped member out of the record, as an operator asks.
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

// EnableFlags enables every flag of this build that all recorded members
// support. It is serialized with registrations, and flags are never disabled.
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

// GrantRoles records new holders, each under a new fence. A grant made from a
// record that has changed since is passed over.
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

// RemoveServers takes the duties and orders of servers out of the record that are gone
// for good. A duty that has changed hands since it was looked at stays.
func RemoveServers(names []string, seen map[string]lease.Role) Change {
	return func(state *State, _, _ Version) error {
		for _, name := range names {
			key := lease.ServerKey(name)
			duty, found := state.Roles.Roles[key]
			if found && duty != seen[key] {
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

// IssueOrders records orders from the holder of the parts duty. Orders under an
// older fence are refused.
func IssueOrders(duty lease.Role, orders []codec.Order, supported features.List) Change {
	return func(state *State, _, _ Version) error {
		if state.Roles.Roles[lease.PartsKey] != duty {
			return failure.New(failure.NotHolder, "the duty "+lease.PartsKey+" has changed hands")
		}
		enabled := state.Flags.Enabled
		if len(supported.Lacks(enabled)) > 0 {
			return failure.New(failure.Restricted, "this node may not write orders")
		}
		for _, o := range orders {
			record, err := codec.EncodeOrder(o, duty.Holder, state.Orders.Number+1, enabled)
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

// ClaimRetention is how long a claim is kept at least. An id older than the horizon
// is refused. The value is ours.
const ClaimRetention = 10 * time.Minute

// ClaimRequest takes a request id for one arrival at a router, once. The entry's
// cause is a nonce of that arrival: with it the router may ask again, since an
// answer can be lost. The same id arriving again has another nonce.
func ClaimRequest(made time.Time, entry codec.Entry) Change {
	return func(state *State, _, _ Version) error {
		if state.Horizon.IsZero() {
			return failure.New(failure.NoPrimary, "the larder was formed a moment ago; ask again")
		}
		if made.Before(state.Horizon) {
			return failure.New(failure.TooOld, "inquiries that may not be repeated are remembered from "+state.Horizon.UTC().Format(time.RFC3339))
		}
		if made.After(state.Horizon.Add(ClaimRetention + time.Hour)) {
			return failure.New(failure.TooNew, "the inquiry's id is from the future")
		}
		section := claimsSectionName(made)
		if record, found := state.Claims[section][entry.Request]; found {
			earlier, err := codec.DecodeEntry(record)
			if err != nil {
				return err
			}
			if earlier.Router == entry.Router && earlier.Cause == entry.Cause {
				return nil
			}
			return failure.New(failure.Duplicate, "taken by "+earlier.Router+" at "+earlier.At.UTC().Format(time.RFC3339Nano))
		}
		record, err := codec.EncodeEntry(codec.RecoverRecord, entry)
		if err != nil {
			return err
		}
		if state.Claims[section] == nil {
			state.Claims[section] = map[string]codec.Record{}
		}
		state.Claims[section][entry.Request] = record
		state.MarkDirty(section)
		return nil
	}
}

// AdvanceHorizon forgets claims that are older than the retention. It moves at
// most by step, which the caller draws from monotonic time, so that a clock
// that jumps forward neither forgets claims nor refuses new ones.
func AdvanceHorizon(wall time.Time, step time.Duration) Change {
	return func(state *State, _, _ Version) error {
		goal := wall.Add(-ClaimRetention)
		if state.Horizon.IsZero() {
			state.Horizon = goal
			state.MarkDirty(HorizonSection)
			state.dropExpiredChanges()
			return nil
		}
		if furthest := state.Horizon.Add(step); goal.After(furthest) {
			goal = furthest
		}
		if !goal.After(state.Horizon) {
			return nil
		}
		state.Horizon = goal
		state.MarkDirty(HorizonSection)
		state.dropExpiredChanges()
		for section := range state.Claims {
			if claimsSectionEnd(section).Before(goal) {
				delete(state.Claims, section)
				state.MarkDirty(section)
			}
		}
		return nil
	}
}
