package replication

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/features"
)

// sentChange is one configuration change of an operator: the revision that it expects (base),
// the revision that it writes, and a number that distinguishes changes with the same revisions.
type sentChange struct {
	base, written uint64
	variant       int
}

func (s sentChange) id() string {
	return fmt.Sprintf("change-%d-%d-%d", s.base, s.written, s.variant)
}

func (s sentChange) apply(text []byte) ([]byte, error) {
	return config.Revise(text, s.base, func([]byte) ([]byte, error) {
		return fmt.Appendf(nil, `{"revision":%d,"annotations":{"word":%d}}`, s.written, s.variant), nil
	})
}

// changeModel is the replicated state together with the expected outcomes of the submitted changes.
type changeModel struct {
	state *State
	// number counts the submitted changes.
	number uint64
	// configurationAt is the version that the last accepted change wrote, and revision is the revision
	// of its configuration.
	configurationAt Version
	revision        uint64
	now             time.Time
	// accepted holds the time, by the model's own clock, at which each change was accepted.
	accepted map[string]time.Time
	// winners holds the change that was accepted on each base revision.
	winners map[uint64]string
	changes []sentChange
}

func newChangeModel() *changeModel {
	model := &changeModel{
		state:    NewState(),
		now:      time.Unix(2_000_000_000, 0),
		accepted: map[string]time.Time{},
		winners:  map[uint64]string{},
	}
	_ = AdvanceHorizon(model.now, 0)(model.state, Version{}, Version{})
	return model
}

// submit runs a change against the state, as the primary does.
func (c *changeModel) submit(sent sentChange) error {
	c.number++
	version := Version{Epoch: 1, Number: c.number}
	err := ChangeConfiguration(sent.id(), sent.id(), nil, PreparedConfiguration{}, sent.apply)(c.state, version, c.configurationAt)
	if c.state.dirty[ConfigurationSection] {
		c.configurationAt = version
	}
	c.state.dirty = map[string]bool{}
	return err
}

// restart encodes the state and reads it again, as a new primary does from its disk.
func (c *changeModel) restart(t *rapid.T) {
	for _, name := range []string{ConfigurationSection, FlagsSection, ChangesSection, HorizonSection} {
		c.state.MarkDirty(name)
	}
	for name := range c.state.Changes.sections {
		c.state.MarkDirty(name)
	}
	sections, _, err := c.state.encodeDirty(c.configurationAt)
	if err != nil {
		t.Fatal(err)
	}
	if c.state, err = ReadState(sections); err != nil {
		t.Fatal(err)
	}
}

// TestRepeatedChangeIsAcceptedOnce draws histories of changes, of which several expect the same
// revision, with repetitions in any order, takeovers and passing time. At most one change on each
// base revision may be accepted, and only while that revision is current. Repetitions of an accepted
// change must be accepted during ChangeRetention, regardless of other changes in between, and must
// never be applied again.
func TestRepeatedChangeIsAcceptedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := newChangeModel()
		t.Repeat(map[string]func(*rapid.T){
			"new change": func(t *rapid.T) {
				sent := sentChange{
					base:    model.revision,
					written: model.revision + rapid.Uint64Range(1, 3).Draw(t, "step"),
					variant: rapid.IntRange(0, 5).Draw(t, "word"),
				}
				if rapid.IntRange(0, 3).Draw(t, "base") == 0 && len(model.changes) > 0 {
					sent.base = model.changes[rapid.IntRange(0, len(model.changes)-1).Draw(t, "old")].base
				}
				model.send(t, sent)
			},
			"again": func(t *rapid.T) {
				if len(model.changes) > 0 {
					model.send(t, model.changes[rapid.IntRange(0, len(model.changes)-1).Draw(t, "index")])
				}
			},
			"hundreds of others": func(t *rapid.T) {
				if model.number > 300 {
					t.Skip("at most once in a history")
				}
				for range 300 {
					model.send(t, sentChange{base: model.revision, written: model.revision + 1, variant: 9})
				}
			},
			"takeover": func(t *rapid.T) { model.restart(t) },
			"flag":     func(*rapid.T) { model.state.Flags.Enabled = features.List{features.ChangeSections} },
			"time": func(t *rapid.T) {
				passed := time.Duration(rapid.IntRange(1, 240).Draw(t, "seconds")) * time.Second
				model.now = model.now.Add(passed)
				_ = AdvanceHorizon(model.now, 2*passed)(model.state, Version{}, Version{})
			},
		})
	})
}

// send submits a change and checks its outcome.
func (c *changeModel) send(t *rapid.T, sent sentChange) {
	at, wasAccepted := c.accepted[sent.id()]
	before := c.configurationAt
	err := c.submit(sent)
	switch {
	case wasAccepted && c.now.Sub(at) < ChangeRetention && err != nil:
		t.Fatalf("%s was accepted %v ago, but its repetition failed: %v", sent.id(), c.now.Sub(at), err)
	case wasAccepted && c.configurationAt != before:
		t.Fatalf("%s was applied twice", sent.id())
	case wasAccepted || err != nil:
		return
	}
	if winner, won := c.winners[sent.base]; won {
		t.Fatalf("%s and %s were both accepted on revision %d", winner, sent.id(), sent.base)
	}
	if sent.base != c.revision {
		t.Fatalf("%s was accepted although revision %d was current", sent.id(), c.revision)
	}
	c.accepted[sent.id()], c.winners[sent.base] = c.now, sent.id()
	c.revision = sent.written
	c.changes = append(c.changes, sent)
}

// TestChangesBeyondTheLimitAreRefused fills the change records: further changes are refused as Busy
// until older records expire, and no record is dropped early to make room.
func TestChangesBeyondTheLimitAreRefused(t *testing.T) {
	t.Run("one section", func(t *testing.T) { testChangesBeyondTheLimit(t, false, maxSingleSectionRecords) })
	t.Run("sections", func(t *testing.T) { testChangesBeyondTheLimit(t, true, MaxChangeRecords) })
}

func testChangesBeyondTheLimit(t *testing.T, inSections bool, limit int) {
	model := newChangeModel()
	if inSections {
		model.state.Flags.Enabled = features.List{features.ChangeSections}
	}
	first := sentChange{written: 1}
	if err := model.submit(first); err != nil {
		t.Fatal(err)
	}
	for number := range limit - 1 {
		record := ChangeRecord{ID: fmt.Sprint("other-", number), At: model.state.changeTime()}
		model.state.Changes.add(record, inSections)
	}
	next := sentChange{base: 1, written: 2}
	if err := model.submit(next); failure.CodeOf(err) != failure.Busy {
		t.Errorf("a change beyond the limit: got %v, want Busy", err)
	}
	if err := model.submit(first); err != nil {
		t.Errorf("repetition of the first change: %v", err)
	}
	later := model.now.Add(ChangeRetention + time.Minute)
	_ = AdvanceHorizon(later, time.Hour)(model.state, Version{}, Version{})
	if err := model.submit(next); err != nil {
		t.Errorf("a change after the retention: %v", err)
	}
	if count := model.state.Changes.Count(); count > changeSectionRecords {
		t.Errorf("got %d records after the retention, want at most the %d of one section", count, changeSectionRecords)
	}
}

// TestChangeRecordsWithoutTimeAreKept reads a record of an older release, which has no time: the
// record gets the present time and is kept for the retention from then on.
func TestChangeRecordsWithoutTimeAreKept(t *testing.T) {
	state := NewState()
	state.Changes.single = []ChangeRecord{{ID: "old", Digest: "d", Version: Version{Epoch: 1, Number: 1}}}
	start := time.Unix(2_000_000_000, 0)
	_ = AdvanceHorizon(start, 0)(state, Version{}, Version{})
	if state.Changes.Count() != 1 || state.Changes.single[0].At.IsZero() {
		t.Fatalf("got %+v, want the record with a time", state.Changes)
	}
	_ = AdvanceHorizon(start.Add(ChangeRetention/2), time.Hour)(state, Version{}, Version{})
	if state.Changes.Count() != 1 {
		t.Fatalf("got %+v, want the record until the retention has passed", state.Changes)
	}
}
