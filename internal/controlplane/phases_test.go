package controlplane

import (
	"fmt"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/wire"
)

// TestThePhasesOfAnEditAreLogged expects that the log entry of an accepted edit contains the name of a router
// that did not confirm and the times of all phases, and that ChangeCounts counts the edit as unconfirmed and
// includes the wait for its confirmation.
func TestThePhasesOfAnEditAreLogged(t *testing.T) {
	formed, primary := newCore(t, unwrapped)
	logged := make(map[string]string)
	observer := func(event string, detail ...any) {
		if event != editAccepted {
			return
		}
		for position := 0; position+1 < len(detail); position += 2 {
			logged[fmt.Sprint(detail[position])] = fmt.Sprint(detail[position+1])
		}
	}
	formed.observer.Store(&observer)
	wait := 100 * time.Millisecond
	primary.SetAcknowledgeWait(wait)
	router := wire.UpdateRequest{
		Member: membership.Member{Name: "router-1", Kind: membership.Router, Address: "r1"},
		Have:   map[string]replication.Version{},
	}
	if _, err := primary.serveUpdate(router); err != nil {
		t.Fatal(err)
	}
	if _, err := primary.Edit(revision(0, 3, "a")); err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string]string{"routers": "1", "unconfirmed": "1", "last_router": "router-1"} {
		if logged[name] != want {
			t.Errorf("%s: got %q, want %q", name, logged[name], want)
		}
	}
	for _, name := range []string{"prepared_after", "committed_after", "confirmed_after", "queued", "own_disk", "backups", "bytes"} {
		if logged[name] == "" {
			t.Errorf("%s is not logged", name)
		}
	}
	counts := primary.ChangeCounts()
	if counts.Accepted != 1 || counts.Unconfirmed != 1 || counts.Confirmation < wait {
		t.Errorf("got counts %+v, want one accepted and unconfirmed edit that waited for confirmation", counts)
	}
}
