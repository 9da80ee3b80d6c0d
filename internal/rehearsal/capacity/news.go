package capacity

import (
	"time"

	"github.com/klauspost/compress/s2"
	"github.com/vmihailenco/msgpack/v5"

	"seamloom.example/seamloom"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/formats"
	"seamloom.example/seamloom/internal/hatch"
	"seamloom.example/seamloom/internal/lease"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/pass"
	"seamloom.example/seamloom/internal/replication"
)

const readerRole = "reader of the list"

func newsActivities() []Activity {
	return []Activity{
		{Role: primaryRole, Name: "list news", Dimensions: []Dimension{Servers}, Measure: measureTellingList},
		{Role: primaryRole, Name: "load news", Dimensions: []Dimension{Servers, Nodes}, Measure: measureTellingLoads},
		{Role: courierRole, Name: "list news", Dimensions: []Dimension{Servers}, Measure: measureHearingList},
		{Role: courierRole, Name: "load news", Dimensions: []Dimension{Servers}, Measure: measureHearingLoads},
		{Role: readerRole, Name: "reading the list", Dimensions: []Dimension{Servers}, Measure: measureReadingList},
	}
}

// told asks the primary what a courier with the marks is told, and how long both ways
// are.
func told(core *core, question hatch.NewsQuestion) (body []byte, answer hatch.NewsAnswer, size int, err error) {
	question.Member, question.Have, question.InForce, question.Deltas, question.Charter = core.members[0], core.have, core.have[replication.ConfigurationSection], true, core.charter
	if body, err = msgpack.Marshal(question); err != nil {
		return nil, answer, 0, failure.Wrap(failure.Garbage, err)
	}
	encoded, err := core.primary().Answers().Answer(hatch.NewsPath, body)
	if err == nil {
		err = failure.Wrap(failure.Garbage, msgpack.Unmarshal(encoded, &answer))
	}
	return body, answer, len(body) + len(encoded), err
}

// telling measures answering a question, and how long the answer is packed.
func telling(core *core, note Note, of string, body []byte) error {
	answers := core.primary().Answers()
	encoded, err := answers.Answer(hatch.NewsPath, body)
	if err != nil {
		return err
	}
	note("bytes "+of+", packed", "B", float64(len(s2.Encode(nil, encoded))))
	var broken error
	noteCost(note, of, Meter{}.Measure(func(int) {
		if _, err := answers.Answer(hatch.NewsPath, body); err != nil {
			broken = err
		}
	}))
	return broken
}

// measureTellingList is an answer to a courier that has another list, and to one that
// has this one.
func measureTellingList(sizes Sized, note Note) error {
	return withCore(sizes, func(core *core) error {
		body, answer, size, err := told(core, hatch.NewsQuestion{Lists: true})
		if err != nil {
			return err
		}
		if answer.Servers == nil || len(answer.Servers.Servers) != sizes[Servers] {
			return failure.New(failure.Unsorted, "the list is not told")
		}
		note("bytes a courier, list changed", "B", float64(size))
		if err := telling(core, note, "a courier, list changed", body); err != nil {
			return err
		}
		body, answer, size, err = told(core, hatch.NewsQuestion{Lists: true, ListMark: answer.Servers.Mark})
		if err != nil {
			return err
		}
		if answer.Servers == nil || answer.Servers.Sent {
			return failure.New(failure.Unsorted, "the list is told again")
		}
		note("bytes a courier, list as it was", "B", float64(size))
		return telling(core, note, "a courier, list as it was", body)
	})
}

// heardLoads waits until the primary has read a report of every server.
func heardLoads(core *core, servers int) (body []byte, answer hatch.NewsAnswer, size int, err error) {
	for ends := core.turns.Now().Add(formPatience); ; lease.Pause(core.turns, 50*time.Millisecond) {
		body, answer, size, err = told(core, hatch.NewsQuestion{Lists: true, Loads: true})
		if err != nil || answer.Loads != nil && len(answer.Loads.Lines) == servers {
			return body, answer, size, err
		}
		if core.turns.Now().After(ends) {
			return body, answer, size, failure.New(failure.Unsorted, "the hollow core has not read all reports")
		}
	}
}

// measureTellingLoads is an answer to a courier that has the list and an older round
// of reports.
func measureTellingLoads(sizes Sized, note Note) error {
	return withCore(sizes, func(core *core) error {
		_, answer, _, err := heardLoads(core, sizes[Servers])
		if err != nil {
			return err
		}
		body, answer, size, err := told(core, hatch.NewsQuestion{Lists: true, ListMark: answer.Servers.Mark, Loads: true})
		if err != nil {
			return err
		}
		if answer.Servers.Sent || len(answer.Loads.Lines) != sizes[Servers] {
			return failure.New(failure.Unsorted, "not the reports alone are told")
		}
		note("bytes a courier and round", "B", float64(size))
		return telling(core, note, "a courier and round", body)
	})
}

// noList is a platform that is not there.
type noList struct{}

// Servers can't be read.
func (noList) Servers() ([]membership.Server, error) {
	return nil, failure.New(failure.Unreachable, "the platform")
}

// Nodes are not listed.
func (noList) Nodes() ([]membership.Node, error) {
	return nil, failure.New(failure.NoSuch, "a list of nodes")
}

// hearing has a courier that takes calls follow answers, and tells what one costs. The
// first makes it know the fleet and is not counted.
func hearing(note Note, of string, first hatch.NewsAnswer, answers []hatch.NewsAnswer) error {
	line := &canned{}
	for _, answer := range append([]hatch.NewsAnswer{first}, answers...) {
		encoded, err := msgpack.Marshal(answer)
		if err != nil {
			return failure.Wrap(failure.Garbage, err)
		}
		line.answers = append(line.answers, encoded)
	}
	life := &shortLife{Threads: newTurns(), line: line, ends: 1}
	conduct := hatch.NewCourier(life, line, hollowStove{}, &takenOver{}, hatch.CourierOptions{Options: seamloom.Options{Courier: "courier-1", District: districtOf(0), Supported: formats.Supported(nil)},
		Address: "10.1.0.1:7101", Seeds: []string{"10.0.0.1:7100"}, Nonce: func() string { return "nonce" }, Ended: func(*pass.Inquiry, pass.Decision) {}, Directory: noList{}, Board: boardOf(life)}, func(string, ...any) {})
	// The third round follows the news.
	follow := conduct.Rounds()[2]
	follow()
	cost := Meter{}.Measure(func(int) {
		line.asked.Store(1)
		life.ends = int64(len(line.answers))
		follow()
	})
	share := float64(len(answers))
	cost.Processor, cost.Bytes = time.Duration(float64(cost.Processor)/share), cost.Bytes/share
	noteCost(note, of, cost)
	if len(conduct.Servers()) == 0 {
		return failure.New(failure.Unsorted, "the courier has not taken the list")
	}
	return nil
}

// measureHearingList is a list that changed in one server, and news without a change.
func measureHearingList(sizes Sized, note Note) error {
	first, err := everything(sizes)
	if err != nil {
		return err
	}
	servers := ServersOf(sizes[Servers])
	first.Servers = &hatch.ServersNews{Mark: 1, Sent: true, Servers: servers}
	quiet := hatch.NewsAnswer{Leads: true, Charter: first.Charter, Menu: first.Menu, Hold: first.Hold, Couriers: sizes[Nodes], Servers: &hatch.ServersNews{Mark: 1}}
	if err := hearing(note, "news, list as it was", first, []hatch.NewsAnswer{quiet}); err != nil {
		return err
	}
	var changed []hatch.NewsAnswer
	for number := range 2 {
		list := append([]membership.Server(nil), servers...)
		list[0].Leaving = number == 0
		answer := quiet
		answer.Servers = &hatch.ServersNews{Mark: uint64(number + 2), Sent: true, Servers: list}
		changed = append(changed, answer)
	}
	return hearing(note, "news, list changed", first, changed)
}

// measureHearingLoads is a round of reports.
func measureHearingLoads(sizes Sized, note Note) error {
	first, err := everything(sizes)
	if err != nil {
		return err
	}
	first.Servers = &hatch.ServersNews{Mark: 1, Sent: true, Servers: ServersOf(sizes[Servers])}
	var loads *hatch.LoadsNews
	if err := withCore(sizes, func(core *core) error {
		_, answer, _, err := heardLoads(core, sizes[Servers])
		loads = answer.Loads
		return err
	}); err != nil {
		return err
	}
	var rounds []hatch.NewsAnswer
	for number := range 4 {
		rounds = append(rounds, hatch.NewsAnswer{Leads: true, Charter: first.Charter, Menu: first.Menu, Hold: first.Hold, Couriers: sizes[Nodes], Servers: &hatch.ServersNews{Mark: 1},
			Loads: &hatch.LoadsNews{Mark: uint64(number + 1), Lines: loads.Lines}})
	}
	return hearing(note, "a round", first, rounds)
}

// measureReadingList is joining what is read to what is known.
func measureReadingList(sizes Sized, note Note) error {
	servers := ServersOf(sizes[Servers])
	listing := membership.Listing{}
	now := noon
	noteCost(note, "a list as it was, reading not counted", Meter{}.Measure(func(int) {
		now = now.Add(500 * time.Millisecond)
		listing.Take(now, servers)
	}))
	return nil
}
