package capacity

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/hatch"
	"seamloom.example/seamloom/internal/lease"
	"seamloom.example/seamloom/internal/replication"
)

const (
	backupRole = "expediter as backup"
	keeperRole = "expediter as keeper"
	seatRole   = "a machine set aside"
)

func seatActivities() []Activity {
	return []Activity{
		{Role: backupRole, Name: "configuration change", Dimensions: []Dimension{Routes}, Measure: measureReplica},
		{Role: backupRole, Name: "claims", Dimensions: []Dimension{Claims}, Measure: measureClaimsReplica},
		{Role: keeperRole, Name: "hold of the primary", Dimensions: []Dimension{Seats}, Measure: measureKeeping},
		{Role: seatRole, Name: "hellos and confirmations", Dimensions: []Dimension{Seats}, Measure: measureHellos},
		{Role: seatRole, Name: "a whole copy to a newcomer", Dimensions: []Dimension{Routes, Claims}, Measure: measureSnapshot},
	}
}

// replica measures taking one batch as a backup does: reading it from the wire and
// writing it to its copy.
func replica(note Note, drawers map[string]replication.Section) error {
	type question struct {
		To    replication.Identity `msgpack:"to"`
		Epoch uint64               `msgpack:"epoch"`
		Batch replication.Batch    `msgpack:"batch"`
	}
	copied, err := replication.OpenCopy(newShelf())
	if err != nil {
		return err
	}
	var broken error
	base := replication.Version{}
	cost := Meter{}.Measure(func(number int) {
		version := replication.Version{Epoch: 1, Number: uint64(number + 1)}
		batch := replication.Batch{Version: version, Base: base, Drawers: map[string]replication.Section{}}
		for name, drawer := range drawers {
			batch.Drawers[name] = replication.Section{Version: version, Content: drawer.Content}
		}
		body, err := msgpack.Marshal(question{To: "identity", Epoch: 1, Batch: batch})
		if err != nil {
			broken = err
		}
		var asked question
		if err := msgpack.Unmarshal(body, &asked); err != nil {
			broken = err
		}
		if err := copied.Write(asked.Batch); err != nil {
			broken = err
		}
		base = version
	})
	noteCost(note, "a version, sending included", cost)
	return broken
}

func measureReplica(sizes Sized, note Note) error {
	return replica(note, map[string]replication.Section{replication.ConfigurationSection: {Content: Configuration(sizes, 1)}})
}

// measureClaimsReplica takes a drawer of claims.
func measureClaimsReplica(sizes Sized, note Note) error {
	state := replication.NewState()
	now := time.Now()
	state.Horizon = now.Add(-replication.Retention)
	if err := fillClaims(state, now, sizes[Claims]); err != nil {
		return err
	}
	for name, claims := range state.Claims {
		content, err := msgpack.Marshal(claims)
		if err != nil {
			return failure.Wrap(failure.Garbage, err)
		}
		note("bytes of the drawer", "B", float64(len(content)))
		return replica(note, map[string]replication.Section{name: {Content: content}})
	}
	return failure.New(failure.Missing, "no claims were made")
}

// measureKeeping is what a keeper answers the primary and the others.
func measureKeeping(sizes Sized, note Note) error {
	formed, err := newCore(sizes[Seats])
	if err != nil {
		return err
	}
	defer formed.end()
	lease.Pause(formed.turns, 600*time.Millisecond)
	formed.line.mutex.Lock()
	confirm, hello := formed.line.capture[hatch.ConfirmPath], formed.line.capture[hatch.HelloPath]
	formed.line.mutex.Unlock()
	if len(confirm) == 0 || len(hello) == 0 {
		return failure.New(failure.Missing, "the hollow core says nothing")
	}
	answers := formed.primary().Answers()
	noteCost(note, "a hello", Meter{}.Measure(func(int) { _, _ = answers.Answer(hatch.HelloPath, hello) }))
	noteCost(note, "a confirmation", Meter{}.Measure(func(int) { _, _ = answers.Answer(hatch.ConfirmPath, confirm) }))
	return nil
}

// measureHellos counts what the seats say to each other while nothing happens.
func measureHellos(sizes Sized, note Note) error {
	formed, err := newCore(sizes[Seats])
	if err != nil {
		return err
	}
	defer formed.end()
	const length = 3 * time.Second
	lease.Pause(formed.turns, time.Second)
	before, used, began := formed.line.counts(), processTime(), time.Now()
	lease.Pause(formed.turns, length)
	after, took := formed.line.counts(), time.Since(began)
	messages, bytes := 0, 0
	for path, count := range after {
		messages += count.Messages - before[path].Messages
		bytes += count.Bytes - before[path].Bytes
	}
	seats := float64(sizes[Seats])
	note("messages, each seat", "a second", float64(messages)/took.Seconds()/seats)
	note("bytes, each seat", "B a second", float64(bytes)/took.Seconds()/seats)
	note("processor, each seat", "% of a core", 100*float64(processTime()-used)/float64(took)/seats)
	return nil
}

// measureSnapshot is a whole copy, as a new backup or a mended one takes it.
func measureSnapshot(sizes Sized, note Note) error {
	state := replication.NewState()
	now := time.Now()
	state.Horizon = now.Add(-replication.Retention)
	if err := fillClaims(state, now, sizes[Claims]); err != nil {
		return err
	}
	drawers := map[string]replication.Section{replication.ConfigurationSection: {Content: Configuration(sizes, 1)}}
	for name, claims := range state.Claims {
		content, err := msgpack.Marshal(claims)
		if err != nil {
			return failure.Wrap(failure.Garbage, err)
		}
		drawers[name] = replication.Section{Content: content}
	}
	encoded, err := msgpack.Marshal(replication.Snapshot{Drawers: drawers})
	note("bytes", "B", float64(len(encoded)))
	return err
}
