package replication

import (
	"sort"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"seamloom.example/seamloom/internal/codec"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/features"
	"seamloom.example/seamloom/internal/lease"
	"seamloom.example/seamloom/internal/membership"
)

// The names of the sections. Claims have one section for each span of time (ClaimSpan). The records
// of changes are in one section, or, under the flag features.ChangeSections, in one section for
// each changeSectionRecords records.
const (
	ConfigurationSection = "menu"
	MembersSection       = "members"
	FlagsSection         = "flags"
	RolesSection         = "rota"
	OrdersSection        = "orders"
	ChangesSection       = "changes"
	HorizonSection       = "horizon"
	ChangesPrefix        = "changes/"
	ClaimsPrefix         = "claims/"
)

// Flags is the stored list of enabled feature flags.
type Flags struct {
	Enabled features.List `msgpack:"enabled" json:"enabled"`
}

// Roles holds the recorded holder of each role, by the role's key, and the last fencing token.
type Roles struct {
	Roles        map[string]lease.Role `msgpack:"duties"`
	FencingToken uint64                `msgpack:"fence"`
}

// Orders holds the current order of each server, and the number of the last order.
type Orders struct {
	Records map[string]codec.Record `msgpack:"records"`
	Number  uint64                  `msgpack:"number"`
}

// State is the decoded replicated state on which the primary works. A Change checks everything
// before it alters anything, so that a refused change leaves the state as it was. Code that alters
// a field marks its section dirty; only dirty sections are written.
type State struct {
	Configuration []byte
	Members       map[string]membership.Member
	Flags         Flags
	Roles         Roles
	Orders        Orders
	// Changes holds the configuration changes that were accepted within the last ChangeRetention.
	Changes ChangeRecords
	// Horizon is the time before which claims are forgotten; zero before the first AdvanceHorizon.
	Horizon time.Time
	// Claims holds the claimed request ids: by section name, then by request id.
	Claims map[string]map[string]codec.Record
	dirty  map[string]bool
}

// NewState returns the state of a core that was just formed.
func NewState() *State {
	return &State{
		Configuration: []byte(`{}`),
		Members:       map[string]membership.Member{},
		Roles:         Roles{Roles: map[string]lease.Role{}},
		Orders:        Orders{Records: map[string]codec.Record{}},
		Changes:       newChangeRecords(),
		Claims:        map[string]map[string]codec.Record{},
		dirty:         map[string]bool{},
	}
}

// ReadState decodes the sections of a replica. Errors have the code Garbage.
func ReadState(sections map[string]Section) (*State, error) {
	state := NewState()
	for name, section := range sections {
		var err error
		if len(section.Content) == 0 {
			continue
		}
		switch name {
		case ConfigurationSection:
			state.Configuration = section.Content
		case MembersSection:
			err = msgpack.Unmarshal(section.Content, &state.Members)
		case FlagsSection:
			err = msgpack.Unmarshal(section.Content, &state.Flags)
		case RolesSection:
			err = msgpack.Unmarshal(section.Content, &state.Roles)
		case OrdersSection:
			err = msgpack.Unmarshal(section.Content, &state.Orders)
		case HorizonSection:
			err = msgpack.Unmarshal(section.Content, &state.Horizon)
		default:
			if name == ChangesSection || strings.HasPrefix(name, ChangesPrefix) {
				var records []ChangeRecord
				err = msgpack.Unmarshal(section.Content, &records)
				state.Changes.load(name, records)
			}
			if strings.HasPrefix(name, ClaimsPrefix) {
				claims := map[string]codec.Record{}
				err = msgpack.Unmarshal(section.Content, &claims)
				state.Claims[name] = claims
			}
		}
		if err != nil {
			return nil, failure.Wrap(failure.Garbage, err)
		}
	}
	return state, nil
}

// MarkDirty records that the batch in preparation changes a section.
func (s *State) MarkDirty(section string) { s.dirty[section] = true }

// encodeDirty encodes the dirty sections for a version, and marks all sections clean. It returns the
// encoded sections and the sorted names of the dirty sections that no longer exist.
func (s *State) encodeDirty(version Version) (map[string]Section, []string, error) {
	sections := map[string]Section{}
	var removed []string
	for name := range s.dirty {
		var value any
		switch name {
		case ConfigurationSection:
			sections[name] = Section{Version: version, Content: s.Configuration}
			continue
		case MembersSection:
			value = s.Members
		case FlagsSection:
			value = s.Flags
		case RolesSection:
			value = s.Roles
		case OrdersSection:
			value = s.Orders
		case ChangesSection:
			value = s.Changes.single
		case HorizonSection:
			value = s.Horizon
		default:
			claims, isClaims := s.Claims[name]
			records, isRecords := s.Changes.sections[name]
			switch {
			case isClaims:
				value = claims
			case isRecords:
				value = records
			default:
				removed = append(removed, name)
				continue
			}
		}
		content, err := msgpack.Marshal(value)
		if err != nil {
			return nil, nil, failure.Wrap(failure.Garbage, err)
		}
		sections[name] = Section{Version: version, Content: content}
	}
	s.dirty = map[string]bool{}
	sort.Strings(removed)
	return sections, removed, nil
}
