package capacity

import (
	"context"
	"encoding/json"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"seamloom.example/seamloom"
	"seamloom.example/seamloom/internal/adapters/threads"
	"seamloom.example/seamloom/internal/adapters/wallclock"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/formats"
	"seamloom.example/seamloom/internal/hatch"
	"seamloom.example/seamloom/internal/lease"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/pass"
	"seamloom.example/seamloom/internal/replication"
)

const (
	courierRole    = "courier"
	holderRole     = "holder of a duty"
	restrictedRole = "restricted courier"
)

func courierActivities() []Activity {
	return []Activity{
		{Role: courierRole, Name: "hold renewal", Dimensions: []Dimension{Nodes, Servers}, Measure: measureFollowing},
		{Role: courierRole, Name: "configuration change", Dimensions: []Dimension{Routes, Tenants, Models}, Measure: measureTakingMenu},
		{Role: courierRole, Name: "membership", Dimensions: []Dimension{Nodes}, Measure: measureTakingMembers},
		{Role: courierRole, Name: "duty orders", Dimensions: []Dimension{Servers}, Measure: measureTakingOrders},
		{Role: courierRole, Name: "report taken by the market", Dimensions: []Dimension{Servers}, Measure: measureTakingReport},
		{Role: courierRole, Name: "list read and taken by the market", Dimensions: []Dimension{Servers}, Measure: measureTakingList},
		{Role: courierRole, Name: "market choice", Dimensions: []Dimension{Servers}, Measure: measureChoice},
		{Role: courierRole, Name: "inquiry", Dimensions: []Dimension{Servers, Routes, Pieces}, Measure: measureInquiry},
		{Role: courierRole, Name: "ticks at rest", Dimensions: []Dimension{Servers}, Measure: measureTicks},
		{Role: holderRole, Name: "parts and commands", Dimensions: []Dimension{Servers, Nodes}, Measure: measureHolder},
		{Role: restrictedRole, Name: "inquiry passed on", Dimensions: []Dimension{Nodes}, Measure: measurePassing},
	}
}

var noon = time.Unix(1_800_000_000, 0)

// newDecider is a courier's deciding core that knows a fleet of the sizes, and has
// a hold.
func newDecider(sizes Sized) *seamloom.Core {
	decider := seamloom.New(seamloom.Options{Courier: "courier-1", District: districtOf(0), Supported: formats.Supported(nil), MostInquiries: 1 << 20})
	decider.Apply(pass.Event{Kind: pass.FlagsRead, At: noon, Enabled: formats.Supported(nil)})
	decider.Apply(pass.Event{Kind: pass.ServersListed, At: noon, Servers: ServersOf(sizes[Servers])})
	for number := range sizes[Servers] {
		load := loadOf(number)
		decider.Apply(pass.Event{Kind: pass.LoadReported, At: noon, Load: &load})
	}
	decider.Apply(pass.Event{Kind: pass.CouriersCounted, At: noon, Number: uint64(sizes[Nodes])})
	decider.Apply(pass.Event{Kind: pass.MenuReceived, At: noon, Menu: Configuration(sizes, 1), Epoch: 1, Number: 1})
	decider.Apply(pass.Event{Kind: pass.HoldRenewed, At: noon, HoldEnds: noon.Add(time.Hour), Epoch: 1, Number: 1})
	return decider
}

// newInquiry is one of the mix: every third has a long prompt with a shared prefix.
func newInquiry(number, pieces int, models int) *pass.Inquiry {
	inquiry := &pass.Inquiry{ID: "inquiry-" + strconv.Itoa(number), Service: modelOf(number % models), Origin: "tenant-1", Repeatable: true, PromptTokens: 180, Pieces: pieces}
	if number%3 == 0 {
		inquiry.PromptTokens, inquiry.Prefix, inquiry.PrefixTokens = 4200, "zone-verdict-"+strconv.Itoa(number%24), 1800
	}
	return inquiry
}

// measureInquiry is one inquiry's way through the deciding core, from its arrival to
// its final line.
func measureInquiry(sizes Sized, note Note) error {
	decider := newDecider(sizes)
	var broken error
	pieces := sizes[Pieces]
	loads := map[string]pass.Load{}
	for number := range sizes[Servers] {
		load := loadOf(number)
		loads[load.Server] = load
	}
	// What was reserved at a server is forgotten with its next report.
	report := func(decisions []seamloom.Decision) {
		for _, decision := range decisions {
			if load, found := loads[decision.Server]; found {
				decider.Apply(pass.Event{Kind: pass.LoadReported, At: noon, Load: &load})
			}
		}
	}
	cost := Meter{}.Measure(func(number int) {
		inquiry := newInquiry(number, pieces, sizes[Models])
		arrived := decider.Apply(pass.Event{Kind: pass.InquiryArrived, At: noon, Inquiry: inquiry})
		run := arrived[len(arrived)-1].Run
		if run == 0 {
			broken = failure.New(failure.Busy, "the hollow inquiry was not let in: "+arrived[0].Detail)
			return
		}
		answering := decider.Apply(pass.Event{Kind: pass.PrefillAnswered, At: noon, ID: inquiry.ID, Run: run, Outcome: pass.Done, Handle: "handle"})
		for piece := range pieces {
			decider.Apply(pass.Event{Kind: pass.PieceReceived, At: noon, ID: inquiry.ID, Run: run, Piece: piece + 1, Text: "text"})
		}
		decider.Apply(pass.Event{Kind: pass.DecodeEnded, At: noon, ID: inquiry.ID, Run: run, Outcome: pass.Done, Piece: pieces})
		report(arrived)
		report(answering)
	})
	noteCost(note, "an inquiry, in the deciding core", cost)
	return broken
}

// measureChoice is the market's choice for one inquiry.
func measureChoice(sizes Sized, note Note) error {
	market := pass.NewMarket("courier-1", districtOf(0), false)
	market.List(ServersOf(sizes[Servers]))
	market.SetCouriers(sizes[Nodes])
	for number := range sizes[Servers] {
		market.Report(noon, loadOf(number))
	}
	ruling := &pass.Ruling{HomeFirst: true}
	anywhere := func(membership.Server) bool { return true }
	found := true
	noteCost(note, "a choice", Meter{}.Measure(func(number int) {
		_, chosen := market.Choose(noon, newInquiry(number, sizes[Pieces], sizes[Models]), ruling, anywhere, nil)
		found = found && chosen
	}))
	if !found {
		return failure.New(failure.Busy, "the hollow market has no pair")
	}
	return nil
}

// measureTakingReport is one load report, and what all reports keep in memory.
func measureTakingReport(sizes Sized, note Note) error {
	market := pass.NewMarket("courier-1", districtOf(0), false)
	before := heap()
	market.List(ServersOf(sizes[Servers]))
	for number := range sizes[Servers] {
		market.Report(noon, loadOf(number))
	}
	note("memory of the list and all reports", "B", heap()-before)
	load := loadOf(0)
	noteCost(note, "a report", Meter{}.Measure(func(int) { market.Report(noon, load) }))
	encoded, err := json.Marshal(load)
	note("bytes of a report as JSON", "B", float64(len(encoded)))
	return err
}

// measureTakingList is the server list, as each reading of it brings it whole.
func measureTakingList(sizes Sized, note Note) error {
	market := pass.NewMarket("courier-1", districtOf(0), false)
	servers := ServersOf(sizes[Servers])
	encoded, err := json.Marshal(map[string]any{"servers": servers})
	if err != nil {
		return failure.Wrap(failure.Garbage, err)
	}
	note("bytes of the list as JSON", "B", float64(len(encoded)))
	packed, err := msgpack.Marshal(servers)
	if err != nil {
		return failure.Wrap(failure.Garbage, err)
	}
	note("bytes of the list as msgpack", "B", float64(len(packed)))
	noteCost(note, "a list read and taken", Meter{}.Measure(func(int) {
		var list struct {
			Servers []membership.Server `json:"servers"`
		}
		if json.Unmarshal(encoded, &list) == nil {
			market.List(list.Servers)
		}
	}))
	return nil
}

// measureTicks is the tick that a courier does fifty times a second.
func measureTicks(sizes Sized, note Note) error {
	decider := newDecider(sizes)
	noteCost(note, "a tick", Meter{}.Measure(func(number int) {
		decider.Apply(pass.Event{Kind: pass.Ticked, At: noon.Add(time.Duration(number) * time.Microsecond)})
	}))
	return nil
}

// measureHolder is a round of a courier's duties: one that decides the parts, and
// has its share of the servers' keys.
func measureHolder(sizes Sized, note Note) error {
	decider := newDecider(sizes)
	formed := &core{members: membersOf(sizes[Nodes])}
	own := []seamloom.Duty{{Key: lease.PartsKey, Holder: "courier-1", Fence: 1}}
	orders := map[string]seamloom.Order{}
	for number, server := range ServersOf(sizes[Servers]) {
		orders[server.Name] = seamloom.Order{Server: server.Name, Part: string(partOf(number))}
		if key := lease.ServerKey(server.Name); formed.holder(key) == "courier-1" {
			own = append(own, seamloom.Duty{Key: key, Holder: "courier-1", Fence: uint64(number + 2)})
		}
	}
	decider.Apply(pass.Event{Kind: pass.OrdersRead, At: noon, Orders: orders})
	decider.Apply(pass.Event{Kind: pass.HoldRenewed, At: noon, HoldEnds: noon.Add(time.Hour), Epoch: 1, Number: 1, Duties: own})
	// Each round is a tenth of a second later; reports stay fresh.
	now := noon
	cost := Meter{}.Measure(func(number int) {
		now = now.Add(100 * time.Millisecond)
		if number%10 == 0 {
			for server := range sizes[Servers] {
				load := loadOf(server)
				decider.Apply(pass.Event{Kind: pass.LoadReported, At: now, Load: &load})
			}
		}
		decider.Apply(pass.Event{Kind: pass.HoldRenewed, At: now, HoldEnds: now.Add(time.Hour), Epoch: 1, Number: 1, Duties: own})
		decider.Apply(pass.Event{Kind: pass.Ticked, At: now})
	})
	noteCost(note, "a round, a tenth of the reports taken with it", cost)
	note("keys of one courier", "keys", float64(len(own)))
	return nil
}

// canned is a primary that says the same over and over.
type canned struct {
	answers [][]byte
	asked   atomic.Int64
	found   atomic.Bool
}

// CallRaw gives the next answer. The first question of all is that of the courier's search:
// it asks only who leads, and is not counted.
func (canned *canned) CallRaw(_, _ string, _ []byte, _ time.Duration) ([]byte, error) {
	if !canned.found.Swap(true) {
		return msgpack.Marshal(hatch.NewsAnswer{Leads: true})
	}
	number := canned.asked.Add(1) - 1
	return canned.answers[int(number)%len(canned.answers)], nil
}

// shortLife is a process that ends after so many questions.
type shortLife struct {
	*threads.Threads
	line *canned
	ends int64
}

func newTurns() *threads.Threads { return threads.New(context.Background(), wallclock.New()) }

// Alive tells whether it goes on.
func (life *shortLife) Alive() bool { return life.line.asked.Load() < life.ends }

// following has a courier's conduct follow a canned primary, and tells what one
// answer costs it.
func following(answers []hatch.NewsAnswer) (cost Cost, err error) {
	line := &canned{}
	for _, answer := range answers {
		encoded, err := msgpack.Marshal(answer)
		if err != nil {
			return cost, failure.Wrap(failure.Garbage, err)
		}
		line.answers = append(line.answers, encoded)
	}
	life := &shortLife{Threads: newTurns(), line: line}
	conduct := hatch.NewCourier(life, line, nil, nil, hatch.CourierOptions{Options: seamloom.Options{Courier: "courier-1", District: districtOf(0), Supported: formats.Supported(nil)},
		Address: "10.1.0.1:7101", Seeds: []string{"10.0.0.1:7100"}, Nonce: func() string { return "nonce" }}, func(string, ...any) {})
	follow := conduct.Rounds()[2]
	cost = Meter{}.Measure(func(int) {
		life.ends = line.asked.Load() + int64(len(answers))
		follow()
	})
	share := float64(len(answers))
	cost.Processor = time.Duration(float64(cost.Processor) / share)
	cost.Bytes, cost.Allocations = cost.Bytes/share, cost.Allocations/share
	return cost, nil
}

// everything is what the primary of a fleet of the sizes answers a courier that comes
// anew.
func everything(sizes Sized) (answer hatch.NewsAnswer, err error) {
	err = withCore(sizes, func(core *core) error {
		var err error
		_, answer, err = core.ask(0, nil)
		return err
	})
	return answer, err
}

// measureFollowing is a question and an answer without news.
func measureFollowing(sizes Sized, note Note) error {
	var answers []hatch.NewsAnswer
	bytes := 0
	if err := withCore(sizes, func(core *core) error {
		for position := range core.members {
			size, answer, err := core.ask(position, core.have)
			if err != nil {
				return err
			}
			answers = append(answers, answer)
			bytes += size
		}
		note("bytes of the question", "B", float64(len(core.question(0, core.have))))
		return nil
	}); err != nil {
		return err
	}
	cost, err := following(answers)
	noteCost(note, "a question", cost)
	note("bytes of the answer", "B", float64(bytes)/float64(len(answers)))
	return err
}

// changing follows two answers in turn, each with a newer version of one drawer, and
// tells what one costs.
func changing(note Note, of, name string, versions func(number uint64) replication.Section) error {
	var answers []hatch.NewsAnswer
	for number := range uint64(64) {
		drawer := versions(number + 1)
		drawer.Version = replication.Version{Epoch: 1, Number: number + 1}
		answers = append(answers, hatch.NewsAnswer{Leads: true, Drawers: map[string]replication.Section{name: drawer}, Menu: replication.Version{Epoch: 1, Number: number + 1}})
	}
	// Each pass through the answers is by a life of its own: versions never go back.
	line := &canned{}
	for _, answer := range answers {
		encoded, err := msgpack.Marshal(answer)
		if err != nil {
			return failure.Wrap(failure.Garbage, err)
		}
		line.answers = append(line.answers, encoded)
	}
	cost := Meter{Most: 8}.Measure(func(int) {
		line.asked.Store(0)
		life := &shortLife{Threads: newTurns(), line: line, ends: int64(len(answers))}
		conduct := hatch.NewCourier(life, line, nil, nil, hatch.CourierOptions{Options: seamloom.Options{Courier: "courier-1", District: districtOf(0), Supported: formats.Supported(nil)},
			Address: "10.1.0.1:7101", Seeds: []string{"10.0.0.1:7100"}, Nonce: func() string { return "nonce" }}, func(string, ...any) {})
		conduct.Rounds()[2]()
	})
	share := float64(len(answers))
	cost.Processor, cost.Bytes = time.Duration(float64(cost.Processor)/share), cost.Bytes/share
	noteCost(note, of, cost)
	return nil
}

// measureTakingMenu is a new configuration, read, checked and compiled.
func measureTakingMenu(sizes Sized, note Note) error {
	text := Configuration(sizes, 1)
	if err := changing(note, "a configuration", replication.ConfigurationSection, func(uint64) replication.Section { return replication.Section{Content: text} }); err != nil {
		return err
	}
	before := heap()
	decider := newDecider(sizes)
	note("memory of the core with it", "B", heap()-before)
	if epoch, _ := decider.InForce(); epoch != 1 {
		return failure.New(failure.Unsorted, "the configuration is not in force")
	}
	return nil
}

// measureTakingMembers is a new record of the members.
func measureTakingMembers(sizes Sized, note Note) error {
	members := map[string]membership.Member{}
	for _, member := range membersOf(sizes[Nodes]) {
		members[member.Name] = member
	}
	content, err := msgpack.Marshal(members)
	if err != nil {
		return failure.Wrap(failure.Garbage, err)
	}
	note("bytes of the members", "B", float64(len(content)))
	return changing(note, "a record of members", replication.MembersSection, func(uint64) replication.Section { return replication.Section{Content: content} })
}

// measureTakingOrders is a new record of the orders.
func measureTakingOrders(sizes Sized, note Note) error {
	answer, err := everything(sizes)
	if err != nil {
		return err
	}
	content := answer.Drawers[replication.OrdersSection].Content
	note("bytes of the orders", "B", float64(len(content)))
	return changing(note, "a record of orders", replication.OrdersSection, func(uint64) replication.Section { return replication.Section{Content: content} })
}

// measurePassing is an inquiry that a restricted courier gives to a capable one.
func measurePassing(sizes Sized, note Note) error {
	answer, err := everything(sizes)
	if err != nil {
		return err
	}
	content, err := msgpack.Marshal(replication.Flags{Enabled: formats.Supported(nil)})
	if err != nil {
		return failure.Wrap(failure.Garbage, err)
	}
	answer.Drawers[replication.FlagsSection] = replication.Section{Version: replication.Version{Epoch: 99, Number: 99}, Content: content}
	encoded, err := msgpack.Marshal(answer)
	if err != nil {
		return failure.Wrap(failure.Garbage, err)
	}
	line := &canned{answers: [][]byte{encoded}}
	life := &shortLife{Threads: newTurns(), line: line, ends: 1}
	passed := &takenOver{}
	conduct := hatch.NewCourier(life, line, nil, passed, hatch.CourierOptions{Options: seamloom.Options{Courier: "courier-1", District: districtOf(0),
		Supported: formats.Supported(formats.List{formats.OrderPatience})}, Address: "10.1.0.1:7101", Seeds: []string{"10.0.0.1:7100"}, Nonce: func() string { return "nonce" }}, func(string, ...any) {})
	conduct.Rounds()[2]()
	life.ends = 1 << 40
	noteCost(note, "an inquiry, circuits not counted", Meter{}.Measure(func(number int) {
		conduct.Serve(hatch.Arrival{Inquiry: newInquiry(number, 1, 1), Body: []byte("{}")}, silent{})
	}))
	if passed.count == 0 {
		return failure.New(failure.Unsorted, "nothing was passed on")
	}
	return nil
}

// takenOver takes whatever is passed on.
type takenOver struct{ count int }

// Pass takes it.
func (passed *takenOver) Pass(string, hatch.Passage, []byte, func(func()), func(formats.Record) bool) bool {
	passed.count++
	return true
}

// silent is an origin that hears nothing.
type silent struct{}

// Begin needs nothing.
func (silent) Begin(int, int) {}

// Line needs nothing.
func (silent) Line([]byte) error { return nil }

// WhenLeft needs nothing: it stays.
func (silent) WhenLeft(func()) {}
