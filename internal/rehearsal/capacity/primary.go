package capacity

import (
	"strconv"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/formats"
	"seamloom.example/seamloom/internal/hatch"
	"seamloom.example/seamloom/internal/lease"
	"seamloom.example/seamloom/internal/replication"
)

const primaryRole = "expediter as primary"

func primaryActivities() []Activity {
	return []Activity{
		{Role: primaryRole, Name: "hold renewal", Dimensions: []Dimension{Nodes, Servers}, Measure: measureRenewal},
		{Role: primaryRole, Name: "a waiting question woken in vain", Dimensions: []Dimension{Nodes}, Measure: measureWaking},
		{Role: primaryRole, Name: "configuration change: edit", Dimensions: []Dimension{Routes, Tenants, Models}, Measure: measureEdit},
		{Role: primaryRole, Name: "configuration change: news of it", Dimensions: []Dimension{Routes, Nodes}, Measure: measureChangeNews},
		{Role: primaryRole, Name: "membership", Dimensions: []Dimension{Nodes}, Measure: measureMembership},
		{Role: primaryRole, Name: "duty orders", Dimensions: []Dimension{Servers}, Measure: measureOrders},
		{Role: primaryRole, Name: "duties", Dimensions: []Dimension{Servers, Nodes}, Measure: measureDuties},
		{Role: primaryRole, Name: "claims", Dimensions: []Dimension{Claims}, Measure: measureClaims},
		{Role: primaryRole, Name: "repair sweep", Dimensions: []Dimension{Routes, Claims}, Measure: measureSweep},
	}
}

// measureRenewal is one question that finds nothing new, and its answer with a hold.
func measureRenewal(sizes Sized, note Note) error {
	return withCore(sizes, func(core *core) error {
		bodies := make([][]byte, len(core.members))
		largest := 0
		for position := range bodies {
			bodies[position] = core.question(position, core.have)
			size, _, err := core.ask(position, core.have)
			if err != nil {
				return err
			}
			largest += size
		}
		answers := core.primary().Answers()
		var broken error
		noteCost(note, "a question", Meter{}.Measure(func(number int) {
			if _, err := answers.Answer(hatch.NewsPath, bodies[number%len(bodies)]); err != nil {
				broken = err
			}
		}))
		note("bytes a question and answer", "B", float64(len(bodies[0]))+float64(largest)/float64(len(bodies)))
		return broken
	})
}

// measureWaking is what a commit without news for couriers costs for each question
// that waits: it is woken, finds nothing and waits again.
func measureWaking(sizes Sized, note Note) error {
	const commits = 200
	cost := func(waiting bool) (time.Duration, error) {
		var used time.Duration
		return used, withCore(sizes, func(core *core) error {
			if waiting {
				var parked sync.WaitGroup
				defer parked.Wait()
				over := make(chan struct{})
				defer close(over)
				for position := range core.members {
					question := hatch.NewsQuestion{Member: core.members[position], Have: core.have, InForce: core.have[replication.ConfigurationSection], Deltas: true, Charter: core.charter, Patience: 2 * time.Second}
					body, err := msgpack.Marshal(question)
					if err != nil {
						return failure.Wrap(failure.Garbage, err)
					}
					answers := core.primary().Answers()
					parked.Go(func() {
						for {
							select {
							case <-over:
								return
							default:
								_, _ = answers.Answer(hatch.NewsPath, body)
							}
						}
					})
				}
			}
			lease.Pause(core.turns, 300*time.Millisecond)
			before := processTime()
			for number := range commits {
				if err := core.claim(time.Now(), strconv.Itoa(number)); err != nil {
					return err
				}
			}
			used = processTime() - before
			return nil
		})
	}
	without, err := cost(false)
	if err != nil {
		return err
	}
	with, err := cost(true)
	note("processor time a commit, all waiting", "us", max(0, float64((with-without).Microseconds()))/commits)
	return err
}

// onePlace is an edit of one tenant's route.
func onePlace(edition int) func([]byte) ([]byte, error) {
	patch := []byte(`{"routes":{"tenant-1":{"order":` + strconv.Itoa(1000+edition) + `}}}`)
	return func(text []byte) ([]byte, error) { return config.Merge(text, patch) }
}

// twoPlaces is an edit that takes a route at the beginning away and adds one at the
// end.
func twoPlaces(edition int) func([]byte) ([]byte, error) {
	patch := []byte(`{"routes":{"edition-` + strconv.Itoa(1_000_000+edition) + `":null,"edition-` + strconv.Itoa(1_000_001+edition) + `":{"order":0,"match":{"service":"edition"},"to":{"refuse":true}}}}`)
	return func(text []byte) ([]byte, error) { return config.Merge(text, patch) }
}

// measureEdit is what an edit costs before it is written, and what it writes.
func measureEdit(sizes Sized, note Note) error {
	text := Configuration(sizes, 1)
	noteCost(note, "an edit", Meter{}.Measure(func(int) {
		replication.PrepareMenu(replication.Version{Epoch: 1, Number: 1}, text, onePlace(1), false)
	}))
	note("configuration", "B", float64(len(text)))
	return withCore(sizes, func(core *core) error {
		own := core.shelves[core.place(core.primary())]
		before, went := own.saved.Load(), core.line.counts()[hatch.ReplicatePath]
		edited, err := onePlace(1)(text)
		if err != nil {
			return err
		}
		if err := core.submit(replication.ChangeMenu("one", "one", nil, replication.PreparedMenu{}, func([]byte) ([]byte, error) { return edited, nil })); err != nil {
			return err
		}
		note("written to each disk an edit", "B", float64(own.saved.Load()-before))
		note("sent to the backup an edit", "B", float64(core.line.counts()[hatch.ReplicatePath].Bytes-went.Bytes))
		return nil
	})
}

// measureChangeNews is the answer to a question that has the version before.
func measureChangeNews(sizes Sized, note Note) error {
	return withCore(sizes, func(core *core) error {
		whole, _, err := core.ask(0, nil)
		if err != nil {
			return err
		}
		note("bytes a courier that comes anew", "B", float64(whole))
		if err := core.notePacked(note, "bytes a courier that comes anew", nil); err != nil {
			return err
		}
		for _, change := range []struct {
			of   string
			edit func([]byte) ([]byte, error)
		}{{"changed in one place", onePlace(1)}, {"changed at both ends", twoPlaces(1)}} {
			before := core.have
			// The primary has shown the version before, so that it knows what changed.
			if _, _, err := core.ask(0, nil); err != nil {
				return err
			}
			if err := core.submit(replication.ChangeMenu("", "", nil, replication.PreparedMenu{}, change.edit)); err != nil {
				return err
			}
			var bodies [][]byte
			bytes := 0
			for position := range core.members {
				size, answer, err := core.ask(position, before)
				if err != nil {
					return err
				}
				if len(answer.Deltas)+len(answer.Drawers) == 0 {
					return failure.New(failure.Unsorted, "there is no news of the change")
				}
				bodies = append(bodies, core.question(position, before))
				bytes += size + len(bodies[position])
			}
			answers := core.primary().Answers()
			var broken error
			noteCost(note, "a courier, "+change.of, Meter{}.Measure(func(number int) {
				if _, err := answers.Answer(hatch.NewsPath, bodies[number%len(bodies)]); err != nil {
					broken = err
				}
			}))
			note("bytes a courier, "+change.of, "B", float64(bytes)/float64(len(bodies)))
			if err := core.notePacked(note, "bytes a courier, "+change.of, before); err != nil {
				return err
			}
			if broken != nil {
				return broken
			}
			if err := core.settle(); err != nil {
				return err
			}
		}
		return nil
	})
}

// measureMembership is what one node that comes anew costs: the change, and the
// members that every node is then sent.
func measureMembership(sizes Sized, note Note) error {
	return withCore(sizes, func(core *core) error {
		own := core.shelves[core.place(core.primary())]
		before := own.saved.Load()
		joined := membersOf(sizes[Nodes] + 1)[sizes[Nodes]]
		state, err := stateOf(core)
		if err != nil {
			return err
		}
		noteCost(note, "a registration", Meter{}.Measure(func(int) {
			state.Members[joined.Name] = joined
			encoded, _ := msgpack.Marshal(state.Members)
			_ = len(encoded)
		}))
		if err := core.submit(replication.Register(joined)); err != nil {
			return err
		}
		note("written to each disk a registration", "B", float64(own.saved.Load()-before))
		with, answer, err := core.ask(0, core.have)
		if err != nil {
			return err
		}
		if _, found := answer.Drawers[replication.MembersSection]; !found {
			return failure.New(failure.Unsorted, "there is no news of the member")
		}
		note("bytes to each node a registration", "B", float64(with))
		return core.notePacked(note, "bytes to each node a registration", core.have)
	})
}

func stateOf(core *core) (*replication.State, error) {
	_, view, err := core.primary().Ruling()
	if err != nil {
		return nil, err
	}
	return view.State()
}

// measureOrders is what one order to one server costs: the change, and the orders
// that every node is then sent.
func measureOrders(sizes Sized, note Note) error {
	return withCore(sizes, func(core *core) error {
		own := core.shelves[core.place(core.primary())]
		before := own.saved.Load()
		order := formats.Order{Server: "stove-1", Part: "decode", Patience: 20 * time.Second, Cause: "prompts wait while answers have room"}
		record, err := formats.WriteOrder(order, "courier-1", 9999, formats.Supported(nil))
		if err != nil {
			return err
		}
		if err := core.submit(func(state *replication.State, _, _ replication.Version) error {
			state.Orders.Records[order.Server] = record
			state.Orders.Number++
			state.Touch(replication.OrdersSection)
			return nil
		}); err != nil {
			return err
		}
		note("written to each disk an order", "B", float64(own.saved.Load()-before))
		size, answer, err := core.ask(0, core.have)
		if err != nil {
			return err
		}
		if _, found := answer.Drawers[replication.OrdersSection]; !found {
			return failure.New(failure.Unsorted, "there is no news of the order")
		}
		note("bytes to each node an order", "B", float64(size))
		if err := core.notePacked(note, "bytes to each node an order", core.have); err != nil {
			return err
		}
		body := core.question(0, core.have)
		answers := core.primary().Answers()
		noteCost(note, "a courier", Meter{}.Measure(func(int) { _, _ = answers.Answer(hatch.NewsPath, body) }))
		return nil
	})
}

// measureDuties is one round of the primary's housekeeping: looking for keys that
// are free, and giving all keys of one holder that is gone.
func measureDuties(sizes Sized, note Note) error {
	now := time.Unix(1_800_000_000, 0)
	members := membersOf(sizes[Nodes])
	formed := &core{members: members}
	holds := lease.NewHolds(lease.DefaultTerms(), now)
	for _, member := range members {
		holds.Grant(now, member.Name, 1)
	}
	wanted := []string{lease.PartsKey}
	recorded := map[string]lease.Duty{}
	for number, server := range ServersOf(sizes[Servers]) {
		key := lease.ServerKey(server.Name)
		wanted = append(wanted, key)
		recorded[key] = lease.Duty{Key: key, Holder: formed.holder(key), Fence: uint64(number + 1)}
	}
	recorded[lease.PartsKey] = lease.Duty{Key: lease.PartsKey, Holder: members[0].Name, Fence: 9999}
	keys := lease.NewKeys(lease.DefaultTerms())
	noteCost(note, "a round", Meter{}.Measure(func(int) { keys.Vacant(now, wanted, recorded, holds.Live(now)) }))
	noteCost(note, "giving every key", Meter{Most: 20}.Measure(func(int) {
		lease.NewKeys(lease.DefaultTerms()).Vacant(now, wanted, map[string]lease.Duty{}, holds.Live(now))
	}))
	content, err := msgpack.Marshal(replication.Duties{Duties: recorded})
	note("state of all duties", "B", float64(len(content)))
	return err
}

// measureClaims is one claim into a drawer that has so many.
func measureClaims(sizes Sized, note Note) error {
	return withCore(sized(nil, Nodes, 3), func(core *core) error {
		made := time.Now().Truncate(replication.ClaimSpan).Add(replication.ClaimSpan / 2)
		if err := core.submit(replication.MoveHorizon(made, 0)); err != nil {
			return err
		}
		if err := core.submit(func(state *replication.State, _, _ replication.Version) error {
			return fillClaims(state, made, sizes[Claims])
		}); err != nil {
			return err
		}
		own := core.shelves[core.place(core.primary())]
		before, went := own.saved.Load(), core.line.counts()[hatch.ReplicatePath]
		used := processTime()
		const count = 20
		for range count {
			if err := core.claim(made, "0f8fad5b-d9cb-469f-a165-70867728950e"); err != nil {
				return err
			}
		}
		note("processor time a claim, all copies", "us", float64((processTime()-used).Microseconds())/count)
		note("written to each disk a claim alone", "B", float64(own.saved.Load()-before)/count)
		note("sent to the backup a claim alone", "B", float64(core.line.counts()[hatch.ReplicatePath].Bytes-went.Bytes)/count)
		state, err := stateOf(core)
		if err != nil {
			return err
		}
		empty := heap()
		kept, err := (&replication.View{Drawers: mustView(core).Drawers}).State()
		note("memory of the decoded claims", "B", heap()-empty)
		if kept == nil || state == nil {
			return failure.New(failure.Unsorted, "the claims can't be read")
		}
		return err
	})
}

func mustView(core *core) *replication.View {
	_, view, err := core.primary().Ruling()
	if err != nil {
		return &replication.View{}
	}
	return view
}

// measureSweep reads all files of a copy again.
func measureSweep(sizes Sized, note Note) error {
	return withCore(sizes, func(core *core) error {
		made := time.Now()
		if err := core.submit(func(state *replication.State, version, menuVersion replication.Version) error {
			state.Horizon = made.Add(-replication.Retention)
			if err := fillClaims(state, made, sizes[Claims]); err != nil {
				return err
			}
			return nil
		}); err != nil {
			return err
		}
		position := core.place(core.primary())
		size := 0
		for _, content := range core.shelves[position].files {
			size += len(content)
		}
		note("read again a sweep", "B", float64(size))
		copied := core.primary().Store().Copy()
		var broken error
		noteCost(note, "a sweep, files in memory", Meter{}.Measure(func(int) {
			if _, err := copied.Sweep(); err != nil {
				broken = err
			}
		}))
		return broken
	})
}
