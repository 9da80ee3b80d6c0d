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

// revision returns an edit that replaces the configuration of a base revision by one with the next
// revision. The annotation distinguishes it from other edits between the same revisions.
func revision(base, next uint64, annotation string) Edit {
	text := fmt.Sprintf(`{"revision":%d,"annotations":{"word":%q}}`, next, annotation)
	return Edit{
		BaseRevision: &base,
		Digest:       fmt.Sprintf("%d %s", base, text),
		Apply:        func([]byte) ([]byte, error) { return []byte(text), nil },
	}
}

// evacuation returns an edit that evacuates a zone.
func evacuation(zone string) Edit {
	return Edit{ValidatesItself: true, Apply: func(text []byte) ([]byte, error) { return config.Evacuate(text, zone, "") }}
}

// requireConfiguration fails the test unless the configuration contains the wanted text, and returns the
// version of the configuration.
func (c *core) requireConfiguration(t *testing.T, primary *Controller, want string) replication.Version {
	t.Helper()
	_, view, state, err := primary.Read()
	if err != nil || !strings.Contains(string(state.Configuration), want) {
		t.Fatalf("reading the configuration: error %v, want a text that contains %s", err, want)
	}
	return view.VersionOf(replication.ConfigurationSection)
}

func TestEditMustStartFromTheCurrentRevision(t *testing.T) {
	formed, primary := newCore(t, unwrapped)
	for _, row := range []struct {
		name string
		edit Edit
		code failure.Code
	}{
		{"the first edit", revision(0, 3, "a"), ""},
		{"the first edit repeated", revision(0, 3, "a"), ""},
		{"another edit to the same revision", revision(0, 3, "b"), failure.RevisionConflict},
		{"an edit on the current revision", revision(3, 10, "c"), ""},
		{"the first edit repeated later", revision(0, 3, "a"), ""},
		{"an edit on an old revision", revision(3, 12, "d"), failure.RevisionConflict},
		{"an edit on a future revision", revision(11, 12, "d"), failure.RevisionConflict},
	} {
		if _, err := primary.Edit(row.edit); (err == nil) != (row.code == "") || row.code != "" && failure.CodeOf(err) != row.code {
			t.Errorf("%s: got error %v, want code %q", row.name, err, row.code)
		}
	}
	formed.requireConfiguration(t, primary, `"word":"c"`)
	var validation *config.ValidationError
	for name, edit := range map[string]Edit{"the same revision": revision(10, 10, "e"), "a lower revision": revision(10, 4, "e")} {
		if _, err := primary.Edit(edit); !stderrors.As(err, &validation) || validation.Failures[0].Path != "/revision" {
			t.Errorf("%s: got error %v, want a failure at /revision", name, err)
		}
	}
	formed.requireConfiguration(t, primary, `"word":"c"`)
}

func TestOnlyOneOfConcurrentEditsIsAccepted(t *testing.T) {
	formed, primary := newCore(t, unwrapped)
	for base := range uint64(6) {
		var group sync.WaitGroup
		outcomes := make([]error, 8)
		for position := range outcomes {
			group.Go(func() { _, outcomes[position] = primary.Edit(revision(base, base+1, fmt.Sprint("racer-", position))) })
		}
		group.Wait()
		winner := -1
		for position, err := range outcomes {
			switch {
			case err == nil && winner < 0:
				winner = position
			case failure.CodeOf(err) != failure.RevisionConflict:
				t.Fatalf("edits on revision %d: got %v, want one success and revision conflicts", base, outcomes)
			}
		}
		if winner < 0 {
			t.Fatalf("no edit on revision %d was accepted", base)
		}
		formed.requireConfiguration(t, primary, fmt.Sprintf(`"word":"racer-%d"`, winner))
	}
}

// TestAcceptedEditIsAcceptedAgainByTheNextPrimary makes the primary leave after it accepted an edit, and
// sends the same edit to the next primary.
func TestAcceptedEditIsAcceptedAgainByTheNextPrimary(t *testing.T) {
	formed, primary := newCore(t, unwrapped)
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
		t.Fatal("no controller is primary after the first primary left")
	}
	if _, err := next.Edit(edit); err != nil {
		t.Fatalf("the edit repeated at the next primary: %v", err)
	}
	if _, err := next.Edit(revision(0, 9, "late")); failure.CodeOf(err) != failure.RevisionConflict {
		t.Fatalf("an edit on an old revision: got %v, want RevisionConflict", err)
	}
	formed.requireConfiguration(t, next, `"word":"again"`)
}

func TestRepeatedEvacuationKeepsItsVersion(t *testing.T) {
	formed, primary := newCore(t, unwrapped)
	if _, err := primary.Edit(revision(0, 1, "a")); err != nil {
		t.Fatal(err)
	}
	if _, err := primary.Edit(evacuation("north")); err != nil {
		t.Fatal(err)
	}
	first := formed.requireConfiguration(t, primary, `"evacuations":{"north"`)
	for range 3 {
		if version, err := primary.Edit(evacuation("north")); err != nil || version != first {
			t.Fatalf("a repeated evacuation: got version %s, want %s; error %v", version, first, err)
		}
	}
	// Replacing the configuration keeps the evacuation. Both kinds of edits may run at the same time.
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
		t.Fatalf("got configuration %s, want revision 2 with north and south evacuated; error %v", state.Configuration, err)
	}
	restore := Edit{ValidatesItself: true, Apply: func(text []byte) ([]byte, error) { return config.EndEvacuation(text, "north") }}
	for range 2 {
		if _, err := primary.Edit(restore); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := primary.Edit(evacuation("north")); err != nil {
		t.Fatal(err)
	}
	formed.requireConfiguration(t, primary, `"north"`)
}

// skewedRuntime has a clock that can be set ahead, as if the process had been frozen for that time.
type skewedRuntime struct {
	runtime.Runtime
	ahead *atomic.Int64
}

func (rt skewedRuntime) Now() time.Time {
	return rt.Runtime.Now().Add(time.Duration(rt.ahead.Load()))
}

// TestARefusalNeedsTheLease sets the clock of the primary ahead while a change is evaluated, as if the process
// had been frozen, so that the lease expires before the response. The response must then be OutcomeUnknown
// even for a change that was refused: the state on which the refusal is based may be out of date.
func TestARefusalNeedsTheLease(t *testing.T) {
	ahead := &atomic.Int64{}
	_, primary := newCore(t, func(rt runtime.Runtime) runtime.Runtime { return skewedRuntime{Runtime: rt, ahead: ahead} })
	refusal := failure.New(failure.RevisionConflict, "7")
	if _, err := primary.submit(func(*replication.State, replication.Version, replication.Version) error {
		return refusal
	}, time.Second); failure.CodeOf(err) != failure.RevisionConflict {
		t.Fatalf("a refusal with the lease: got %v, want RevisionConflict", err)
	}
	_, err := primary.submit(func(*replication.State, replication.Version, replication.Version) error {
		ahead.Store(int64(10 * time.Second))
		return refusal
	}, time.Second)
	if code := failure.CodeOf(err); code != failure.OutcomeUnknown {
		t.Errorf("a refusal without the lease: got %v, want OutcomeUnknown", err)
	}
}
