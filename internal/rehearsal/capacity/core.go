package capacity

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/klauspost/compress/s2"
	"github.com/vmihailenco/msgpack/v5"

	"seamloom.example/seamloom/internal/adapters/threads"
	"seamloom.example/seamloom/internal/adapters/wallclock"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/formats"
	"seamloom.example/seamloom/internal/hatch"
	"seamloom.example/seamloom/internal/lease"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/replication"
)

// core is a hollow control plane: expediters in one process, with their copies in
// memory, joined by calls that carry the real msgpack.
type core struct {
	line    *line
	turns   *threads.Threads
	end     context.CancelFunc
	seats   []*hatch.Expediter
	shelves []*shelf
	lists   *lists
	// members are the couriers that the seed registered.
	members []membership.Member
	// have are the versions that a courier in touch has.
	have map[string]replication.Version
	// charter is the epoch of the charter that a courier in touch knows.
	charter uint64
}

const formPatience = 30 * time.Second

// newCore forms a core of so many expediters.
func newCore(seats int) (*core, error) {
	lifetime, end := context.WithCancel(context.Background())
	formed := &core{line: newLine(), turns: threads.New(lifetime, wallclock.New()), end: end}
	var nodes []membership.Node
	var seeds []string
	for number := range seats {
		name := "expediter-" + strconv.Itoa(number+1)
		address := "10.0.0." + strconv.Itoa(number+1) + ":7100"
		nodes = append(nodes, membership.Node{Name: name, Kind: membership.Expediter, Address: address, District: districtOf(number)})
		if number < 3 {
			seeds = append(seeds, address)
		}
	}
	formed.lists = &lists{nodes: nodes}
	changed := formed.turns.NewBell()
	for _, node := range nodes {
		copies := newShelf()
		options := hatch.ExpediterOptions{Name: node.Name, Address: node.Address, District: node.District, Seeds: seeds, Supported: formats.Supported(nil),
			Fresh: replication.Identity("identity-of-" + node.Name + "-0123456789ab"), Directory: formed.lists, Reports: formed.lists}
		seat, _, err := hatch.OpenExpediter(formed.turns, formed.line, newShelf(), copies, options, func(string, ...any) { changed.Ring() })
		if err != nil {
			end()
			return nil, err
		}
		formed.line.join(node.Address, seat.Answers())
		formed.seats, formed.shelves = append(formed.seats, seat), append(formed.shelves, copies)
	}
	for _, seat := range formed.seats {
		for _, round := range seat.Rounds() {
			formed.turns.Go(round)
		}
	}
	for ends := formed.turns.Now().Add(formPatience); !formed.whole(); changed.Wait(50*time.Millisecond, formed.whole) {
		if formed.turns.Now().After(ends) {
			end()
			return nil, failure.New(failure.NoPrimary, "the hollow core was not formed")
		}
	}
	return formed, nil
}

// whole tells whether the core has a primary and a backup, and every seat is recorded.
func (core *core) whole() bool {
	primary := core.primary()
	if primary == nil || primary.Coordinator().Charter().Backup.Empty() {
		return false
	}
	_, view, err := primary.Ruling()
	if err != nil {
		return false
	}
	state, err := view.State()
	return err == nil && len(state.Members) == len(core.seats) && len(state.Flags.Enabled) > 0
}

// primary is the expediter that leads.
func (core *core) primary() *hatch.Expediter {
	for _, seat := range core.seats {
		if _, _, err := seat.Ruling(); err == nil {
			return seat
		}
	}
	return nil
}

// place is the primary's position among the seats.
func (core *core) place(seat *hatch.Expediter) int {
	for position, other := range core.seats {
		if other == seat {
			return position
		}
	}
	return 0
}

// submit has a change committed and waits for it.
func (core *core) submit(change replication.Change) error {
	var mutex sync.Mutex
	var err error
	over := false
	bell := core.turns.NewBell()
	core.primary().Store().Submit(change, func(_ replication.Version, ended error) {
		mutex.Lock()
		err, over = ended, true
		mutex.Unlock()
		bell.Ring()
	})
	if !bell.Wait(formPatience, func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		return over
	}) {
		return failure.New(failure.Unknown, "a change of the hollow core took too long")
	}
	return err
}

// claim has a courier take an inquiry's id, over the wire.
func (core *core) claim(made time.Time, nonce string) error {
	question := hatch.ClaimQuestion{Made: made, Entry: formats.Entry{Inquiry: uuid.Must(uuid.NewV7()).String(), Courier: "courier-217", Cause: nonce, At: made}}
	body, err := msgpack.Marshal(question)
	if err != nil {
		return failure.Wrap(failure.Garbage, err)
	}
	encoded, err := core.primary().Answers().Answer(hatch.ClaimPath, body)
	if err != nil {
		return err
	}
	var answer hatch.LedAnswer
	if msgpack.Unmarshal(encoded, &answer) != nil || !answer.Leads {
		return failure.New(failure.NoPrimary, "the hollow core has lost its primary")
	}
	return nil
}

// seed fills the larder as a fleet of the sizes would have, and lets its couriers
// take their duties.
func (core *core) seed(sizes Sized) error {
	core.members = membersOf(sizes[Nodes])
	duties := map[string]lease.Duty{lease.PartsKey: {Key: lease.PartsKey, Holder: core.holder(lease.PartsKey), Fence: 1}}
	orders := map[string]formats.Record{}
	for number, server := range ServersOf(sizes[Servers]) {
		key := lease.ServerKey(server.Name)
		duties[key] = lease.Duty{Key: key, Holder: core.holder(key), Fence: uint64(number + 2)}
		record, err := formats.WriteOrder(formats.Order{Server: server.Name, Part: string(partOf(number)), Patience: 20 * time.Second, Cause: "prompts wait while answers have room"},
			"courier-1", uint64(number+1), formats.Supported(nil))
		if err != nil {
			return err
		}
		orders[server.Name] = record
	}
	text := Configuration(sizes, 1)
	err := core.submit(func(state *replication.State, _, _ replication.Version) error {
		for _, member := range core.members {
			state.Members[member.Name] = member
		}
		state.Menu = text
		state.Flags.Enabled = formats.Supported(nil)
		state.Rota = replication.Duties{Duties: duties, Fence: uint64(len(duties) + 1)}
		state.Orders = replication.Orders{Records: orders, Number: uint64(len(orders))}
		for _, drawer := range []string{replication.MembersSection, replication.ConfigurationSection, replication.FlagsSection, replication.DutiesSection, replication.OrdersSection} {
			state.Touch(drawer)
		}
		return nil
	})
	if err != nil {
		return err
	}
	core.lists.set(ServersOf(sizes[Servers]))
	for ends := core.turns.Now().Add(formPatience); len(core.primary().Servers()) != sizes[Servers]; lease.Pause(core.turns, 20*time.Millisecond) {
		if core.turns.Now().After(ends) {
			return failure.New(failure.Unsorted, "the hollow core has not read its list of servers")
		}
	}
	return core.settle()
}

// holder is whom rendezvous hashing names for a key.
func (core *core) holder(key string) string {
	weigher := membership.NewWeigher(key)
	holder, heaviest := "", uint64(0)
	for _, member := range core.members {
		if weight := weigher.Weight(member.Name); weight >= heaviest {
			holder, heaviest = member.Name, weight
		}
	}
	return holder
}

// settle has every courier ask until there is nothing new for it.
func (core *core) settle() error {
	for range 100 {
		_, answer, err := core.ask(0, nil)
		if err != nil {
			return err
		}
		core.charter = max(core.charter, answer.Charter.Epoch)
		core.have = map[string]replication.Version{}
		for name, drawer := range answer.Drawers {
			core.have[name] = drawer.Version
		}
		quiet := true
		for position := range core.members {
			_, answer, err := core.ask(position, core.have)
			if err != nil {
				return err
			}
			quiet = quiet && len(answer.Drawers) == 0 && len(answer.Deltas) == 0
		}
		if quiet {
			return nil
		}
	}
	return failure.New(failure.Unsorted, "the hollow core does not come to rest")
}

// question is what a courier that has those versions asks.
func (core *core) question(position int, have map[string]replication.Version) []byte {
	question := hatch.NewsQuestion{Member: core.members[position%len(core.members)], Have: have, InForce: have[replication.ConfigurationSection], Deltas: true, Charter: core.charter}
	body, err := msgpack.Marshal(question)
	if err != nil {
		panic("capacity: " + err.Error())
	}
	return body
}

// ask has a courier ask the primary.
func (core *core) ask(position int, have map[string]replication.Version) (size int, answer hatch.NewsAnswer, err error) {
	encoded, err := core.primary().Answers().Answer(hatch.NewsPath, core.question(position, have))
	if err != nil {
		return 0, answer, err
	}
	if err := msgpack.Unmarshal(encoded, &answer); err != nil {
		return 0, answer, failure.Wrap(failure.Garbage, err)
	}
	if !answer.Leads {
		return 0, answer, failure.New(failure.NoPrimary, "the hollow core has lost its primary")
	}
	return len(encoded), answer, nil
}

// packed is how long what a courier with those versions is told is on the wire.
func (core *core) packed(have map[string]replication.Version) (float64, error) {
	encoded, err := core.primary().Answers().Answer(hatch.NewsPath, core.question(0, have))
	return float64(len(s2.Encode(nil, encoded))), err
}

// notePacked notes that.
func (core *core) notePacked(note Note, measure string, have map[string]replication.Version) error {
	size, err := core.packed(have)
	note(measure+", packed", "B", size)
	return err
}

// withCore runs a measurement on a hollow core that is filled to the sizes.
func withCore(sizes Sized, act func(core *core) error) error {
	formed, err := newCore(sizes[Seats])
	if err != nil {
		return err
	}
	defer formed.end()
	if err := formed.seed(sizes); err != nil {
		return err
	}
	return act(formed)
}
