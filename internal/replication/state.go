package replication

import (
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/formats"
	"seamloom.example/seamloom/internal/lease"
	"seamloom.example/seamloom/internal/membership"
)

// State is the larder's content as the primary works on it. Changes check
// first and then alter, so that a refused change leaves nothing behind.
type State struct {
	Menu    []byte
	Members map[string]membership.Member
	Flags   Flags
	Rota    Duties
	Orders  Orders
	Changes []ChangeNote
	Horizon time.Time
	Claims  map[string]map[string]formats.Record
	dirty   map[string]bool
}

// NewState is the content of a larder that was just formed.
//
// Example:
//
//	state := replication.NewState()
func NewState() *State {
	return &State{Menu: []byte(`{}`), Members: map[string]membership.Member{}, Rota: Duties{Duties: map[string]lease.Duty{}},
		Orders: Orders{Records: map[string]formats.Record{}}, Claims: map[string]map[string]formats.Record{}, dirty: map[string]bool{}}
}

// ReadState decodes the drawers of a copy.
//
// Example:
//
//	state, failure := replication.ReadState(copied.Drawers())
func ReadState(drawers map[string]Drawer) (*State, error) {
	state := NewState()
	for name, drawer := range drawers {
		var err error
		if len(drawer.Content) == 0 {
			continue
		}
		switch name {
		case MenuDrawer:
			state.Menu = drawer.Content
		case MembersDrawer:
			err = msgpack.Unmarshal(drawer.Content, &state.Members)
		case FlagsDrawer:
			err = msgpack.Unmarshal(drawer.Content, &state.Flags)
		case RotaDrawer:
			err = msgpack.Unmarshal(drawer.Content, &state.Rota)
		case OrdersDrawer:
			err = msgpack.Unmarshal(drawer.Content, &state.Orders)
		case ChangesDrawer:
			err = msgpack.Unmarshal(drawer.Content, &state.Changes)
		case HorizonDrawer:
			err = msgpack.Unmarshal(drawer.Content, &state.Horizon)
		default:
			if strings.HasPrefix(name, ClaimsPrefix) {
				claims := map[string]formats.Record{}
				err = msgpack.Unmarshal(drawer.Content, &claims)
				state.Claims[name] = claims
			}
		}
		if err != nil {
			return nil, failure.Wrap(failure.Garbage, err)
		}
	}
	return state, nil
}

// Touch marks a drawer as changed.
//
// Example:
//
//	state.Menu = text
//	state.Touch(replication.MenuDrawer)
func (state *State) Touch(drawer string) { state.dirty[drawer] = true }

// pack encodes the changed drawers and forgets that they were changed.
func (state *State) pack(version Version) (map[string]Drawer, []string, error) {
	drawers := map[string]Drawer{}
	var removed []string
	for name := range state.dirty {
		var value any
		switch name {
		case MenuDrawer:
			drawers[name] = Drawer{Version: version, Content: state.Menu}
			continue
		case MembersDrawer:
			value = state.Members
		case FlagsDrawer:
			value = state.Flags
		case RotaDrawer:
			value = state.Rota
		case OrdersDrawer:
			value = state.Orders
		case ChangesDrawer:
			value = state.Changes
		case HorizonDrawer:
			value = state.Horizon
		default:
			claims, found := state.Claims[name]
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
		drawers[name] = Drawer{Version: version, Content: content}
	}
	state.dirty = map[string]bool{}
	sort.Strings(removed)
	return drawers, removed, nil
}

// ClaimSpan is how much time of inquiry ids one claims drawer covers.
const ClaimSpan = 5 * time.Second

func claimsDrawer(made time.Time) string {
	return ClaimsPrefix + strconv.FormatInt(made.UnixMilli()/ClaimSpan.Milliseconds(), 10)
}

func claimsDrawerEnds(name string) time.Time {
	span, _ := strconv.ParseInt(strings.TrimPrefix(name, ClaimsPrefix), 10, 64)
	return time.UnixMilli((span + 1) * ClaimSpan.Milliseconds())
}
