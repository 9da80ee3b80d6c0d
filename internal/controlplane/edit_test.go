package controlplane

import (
	stderrors "errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/runtime"
)

// revision is an edit that builds on one revision and gives the next, told from others
// by a word.
func revision(builds, next uint64, word string) Edit {
	text := fmt.Sprintf(`{"revision":%d,"annotations":{"word":%q}}`, next, word)
	return Edit{BaseRevision: &builds, Digest: fmt.Sprintf("%d %s", builds, text), Apply: func([]byte) ([]byte, error) { return []byte(text), nil }}
}

func evacuation(zone string) Edit {
	return Edit{ValidatesItself: true, Apply: func(text []byte) ([]byte, error) { return config.Evacuate(text, zone, "") }}
}

func (c *core) mustBe(t *testing.T, primary *Controller, want string) replication.Version {
	t.Helper()
	_, view, state, err := primary.Read()
	if err != nil || !strings.Contains(string(state.Configuration), want) {
		t.Fatalf("%v: no %s in the configuration", err, want)
	}
	return view.VersionOf(replication.ConfigurationSection)
}

func TestEditsBuildOnRevisions(t *testing.T) {
	formed, primary := newCore(t, plain)
	for _, row := range []struct {
		name string
		edit Edit
		kind failure.Code
	}{
		{"the first", revision(0, 3, "a"), ""},
		{"it again", revision(0, 3, "a"), ""},
		{"another with its number", revision(0, 3, "b"), failure.RevisionConflict},
		{"a later one", revision(3, 10, "c"), ""},
		{"the first once more", revision(0, 3, "a"), ""},
		{"one on an old base", revision(3, 12, "d"), failure.RevisionConflict},
		{"one on a base that is not there yet", revision(11, 12, "d"), failure.RevisionConflict},
	} {
		if _, err := primary.Edit(row.edit); (err == nil) != (row.kind == "") || row.kind != "" && failure.CodeOf(err) != row.kind {
			t.Errorf("%s: %v", row.name, err)
		}
	}
	formed.mustBe(t, primary, `"word":"c"`)
	var findings *config.ValidationError
	for name, edit := range map[string]Edit{"not above": revision(10, 10, "e"), "below": revision(10, 4, "e")} {
		if _, err := primary.Edit(edit); !stderrors.As(err, &findings) || findings.Errors[0].Path != "/revision" {
			t.Errorf("%s: %v", name, err)
		}
	}
	formed.mustBe(t, primary, `"word":"c"`)
}

func TestOneOfManyRacingEditsWins(t *testing.T) {
	formed, primary := newCore(t, plain)
	for builds := range uint64(6) {
		var group sync.WaitGroup
		ended := make([]error, 8)
		for position := range ended {
			group.Go(func() { _, ended[position] = primary.Edit(revision(builds, builds+1, fmt.Sprint("racer-", position))) })
		}
		group.Wait()
		winner := -1
		for position, err := range ended {
			switch {
			case err == nil && winner < 0:
				winner = position
			case failure.CodeOf(err) != failure.RevisionConflict:
				t.Fatalf("on %d: %v", builds, ended)
			}
		}
		if winner < 0 {
			t.Fatalf("on %d nobody won", builds)
		}
		formed.mustBe(t, primary, fmt.Sprintf(`"word":"racer-%d"`, winner))
	}
}

// TestAcceptedEditIsAcceptedAgainByTheNextPrimary hands over and sends again.
func TestAcceptedEditIsAcceptedAgainByTheNextPrimary(t *testing.T) {
	formed, primary := newCore(t, plain)
	edit := revision(0, 1, "again")
	if _, err := primary.Edit(edit); err != nil {
		t.Fatal(err)
	}
	primary.Leave(5 * time.Second)
	var next *Controller
	waited := primary.runtime.NewCond()
	for range 200 {
		waited.Wait(20*time.Millisecond, func() bool { return false })
		for _, node := range formed.nodes {
			if _, _, err := node.Leading(); err == nil && node != primary && !node.Coordinator().Membership().Backup.Empty() {
				next = node
			}
		}
		if next != nil {
			break
		}
	}
	if next == nil {
		t.Fatal("nobody leads after the first has left")
	}
	if _, err := next.Edit(edit); err != nil {
		t.Fatalf("sent again to the next primary: %v", err)
	}
	if _, err := next.Edit(revision(0, 9, "late")); failure.CodeOf(err) != failure.RevisionConflict {
		t.Fatalf("on an old base: %v", err)
	}
	formed.mustBe(t, next, `"word":"again"`)
}

func TestEvacuationInForceIsNotMadeAgain(t *testing.T) {
	formed, primary := newCore(t, plain)
	if _, err := primary.Edit(revision(0, 1, "a")); err != nil {
		t.Fatal(err)
	}
	if _, err := primary.Edit(evacuation("north")); err != nil {
		t.Fatal(err)
	}
	first := formed.mustBe(t, primary, `"evacuations":{"north"`)
	for range 3 {
		if version, err := primary.Edit(evacuation("north")); err != nil || version != first {
			t.Fatalf("begun again: %s, not %s: %v", version, first, err)
		}
	}
	// A replacement keeps it, and both may be under way at once.
	var group sync.WaitGroup
	var failures [3]error
	group.Go(func() { _, failures[0] = primary.Edit(revision(1, 2, "b")) })
	group.Go(func() { _, failures[1] = primary.Edit(evacuation("south")) })
	group.Go(func() { _, failures[2] = primary.Edit(evacuation("north")) })
	group.Wait()
	if err := stderrors.Join(failures[:]...); err != nil {
		t.Fatal(err)
	}
	_, _, state, _ := primary.Read()
	configuration, err := config.Check(state.Configuration)
	if err != nil || configuration.Revision != 2 || !configuration.Evacuated("north") || !configuration.Evacuated("south") {
		t.Fatalf("%s: %v", state.Configuration, err)
	}
	lift := Edit{ValidatesItself: true, Apply: func(text []byte) ([]byte, error) { return config.Restore(text, "north") }}
	for range 2 {
		if _, err := primary.Edit(lift); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := primary.Edit(evacuation("north")); err != nil {
		t.Fatal(err)
	}
	formed.mustBe(t, primary, `"north"`)
}

// leapingRuntime is a clock that can be moved ahead, as a process that was frozen finds it.
type leapingRuntime struct {
	runtime.Runtime
	ahead *atomic.Int64
}

func (rt leapingRuntime) Now() time.Time {
	return rt.Runtime.Now().Add(time.Duration(rt.ahead.Load()))
}

// TestARefusalNeedsTheLease freezes the primary after it began a batch and before it
// answers: whatever it found, its state may be an old one by then.
func TestARefusalNeedsTheLease(t *testing.T) {
	ahead := &atomic.Int64{}
	_, primary := newCore(t, func(rt runtime.Runtime) runtime.Runtime { return leapingRuntime{Runtime: rt, ahead: ahead} })
	refusal := failure.New(failure.RevisionConflict, "7")
	if _, err := primary.submit(func(*replication.State, replication.Version, replication.Version) error { return refusal }, time.Second); failure.CodeOf(err) != failure.RevisionConflict {
		t.Fatalf("with the lease: %v", err)
	}
	_, err := primary.submit(func(*replication.State, replication.Version, replication.Version) error {
		ahead.Store(int64(10 * time.Second))
		return refusal
	}, time.Second)
	if kind := failure.CodeOf(err); kind != failure.Unknown {
		t.Errorf("without the lease: %v", err)
	}
}
