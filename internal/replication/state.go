package replication

import (
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"seamloom.example/seamloom/internal/codec"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/lease"
	"seamloom.example/seamloom/internal/membership"
)

// State is the replicated state's content as the primary works on it. Changes check
// first and then alter, so that a refused change leaves nothing behind.
type State struct {
	Configuration []byte
	Members       map[string]membership.Member
	Flags         Flags
	Roles         Roles
	Orders        Orders
	Changes       []ChangeRecord
	Horizon       time.Time
	Claims        map[string]map[string]codec.Record
	dirty         map[string]bool
}

// NewState is the content of a replicated state that was just formed.
func NewState() *State {
	return &State{Configuration: []byte(`{}`), Members: map[string]membership.Member{}, Roles: Roles{Roles: map[string]lease.Role{}},
		Orders: Orders{Records: map[string]codec.Record{}}, Claims: map[string]map[string]codec.Record{}, dirty: map[string]bool{}}
}

// ReadState decodes the sections of a copy.
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
		case ChangesSection:
			err = msgpack.Unmarshal(section.Content, &state.Changes)
		case HorizonSection:
			err = msgpack.Unmarshal(section.Content, &state.Horizon)
		default:
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

// MarkDirty marks a section as changed.
func (s *State) MarkDirty(section string) { s.dirty[section] = true }

// pack encodes the changed sections and forgets that they were changed.
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
			value = s.Changes
		case HorizonSection:
			value = s.Horizon
		default:
			claims, found := s.Claims[name]
			if !found {
				removed = append(removed, name)
				continue
			}
			value = claims
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

// ClaimSpan is how much time of request ids one claims section covers.
const ClaimSpan = 5 * time.Second

func claimsSectionName(made time.Time) string {
	return ClaimsPrefix + strconv.FormatInt(made.UnixMilli()/ClaimSpan.Milliseconds(), 10)
}

func claimsSectionEnd(name string) time.Time {
	span, _ := strconv.ParseInt(strings.TrimPrefix(name, ClaimsPrefix), 10, 64)
	return time.UnixMilli((span + 1) * ClaimSpan.Milliseconds())
}
