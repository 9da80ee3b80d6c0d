package controlplane

import (
	"runtime/debug"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/runtime"
	"seamloom.example/seamloom/internal/wire"
)

// unwrapped returns the runtime unchanged, for cores that need no hooks.
func unwrapped(rt runtime.Runtime) runtime.Runtime { return rt }

// refuseRoute returns an edit's Apply that sets a configuration with one route, which refuses requests.
func refuseRoute(name string) func([]byte) ([]byte, error) {
	return func([]byte) ([]byte, error) { return []byte(`{"routes":{"` + name + `":{"to":{"refuse":true}}}}`), nil }
}

// TestAnswerWaitsForBothDisks makes saves on the primary's own disk fail. A change must not be accepted
// unless it is on the disks of the primary and of the backup.
func TestAnswerWaitsForBothDisks(t *testing.T) {
	formed, primary := newCore(t, unwrapped)
	if _, err := primary.Edit(Edit{Change: "one", Apply: refuseRoute("one")}); err != nil {
		t.Fatal(err)
	}
	formed.copyStorages[primary.options.Address].failing.Store(true)
	if version, err := primary.Edit(Edit{Change: "two", Apply: refuseRoute("two")}); err == nil {
		t.Fatalf("version %s was accepted while the local disk fails", version)
	}
}

// TestEditDoesNotWaitForAReplacedBackup powers off the backup, so that calls to it hang. An edit must be
// acknowledged once the third controller is the backup, without waiting for those calls.
func TestEditDoesNotWaitForAReplacedBackup(t *testing.T) {
	formed, primary := newCore(t, unwrapped)
	if _, err := primary.Edit(Edit{Change: "one", Apply: refuseRoute("one")}); err != nil {
		t.Fatal(err)
	}
	formed.mutex.Lock()
	formed.unreachable = primary.Coordinator().Membership().Backup.Address
	formed.mutex.Unlock()
	began := time.Now()
	var err error
	for number := range 3 {
		if _, err = primary.Edit(Edit{Change: "two", Digest: "two", Apply: refuseRoute("two")}); err == nil {
			t.Logf("accepted after %v, by call %d", time.Since(began), number+1)
			return
		}
	}
	t.Errorf("not accepted after %v: %v", time.Since(began), err)
}

// TestLeaseGrantConfirmsAConcurrentlyCommittedConfiguration commits a configuration after serveUpdate has read the
// newest configuration and before it records the router's lease. The response must confirm the new
// configuration: a change that was committed before the lease was recorded does not wait for this router.
func TestLeaseGrantConfirmsAConcurrentlyCommittedConfiguration(t *testing.T) {
	hooks := map[runtime.Runtime]*hookedRuntime{}
	_, primary := newCore(t, func(rt runtime.Runtime) runtime.Runtime {
		hooked := &hookedRuntime{Runtime: rt}
		hooks[hooked] = hooked
		return hooked
	})
	request := wire.UpdateRequest{
		Member: membership.Member{Name: "courier-1", Kind: membership.Router, Address: "c1"},
		Have:   map[string]replication.Version{},
	}
	if _, err := primary.serveUpdate(request); err != nil {
		t.Fatal(err)
	}
	timeReads, committed := 0, false
	hook := func() {
		// serveUpdate itself reads the time twice, the second time for the lease. Other controllers
		// poll at the same time in other goroutines, whose reads of the time must not count. The
		// stacks of those goroutines contain this hook, but not the test function itself.
		stack := string(debug.Stack())
		if !strings.Contains(stack, "TestLeaseGrantConfirmsAConcurrentlyCommittedConfiguration(") ||
			!strings.Contains(stack, ").serveUpdate(") || strings.Contains(stack, ").HasLease(") {
			return
		}
		if timeReads++; timeReads != 2 {
			return
		}
		_, err := primary.submit(replication.ChangeConfiguration("meanwhile", "", nil,
			replication.PreparedConfiguration{}, refuseRoute("meanwhile")), changeTimeout)
		committed = err == nil
	}
	request.MaxWait = 0
	hooks[primary.runtime].hook.Store(&hook)
	response, err := primary.serveUpdate(request)
	if err != nil || !committed {
		t.Fatalf("the configuration was committed before the lease was recorded: got %v, want true; error %v", committed, err)
	}
	if latest := primary.store.View().VersionOf(replication.ConfigurationSection); response.Configuration != latest && response.Leads {
		t.Fatalf("the lease confirms version %s, want %s, which was committed before the lease", response.Configuration, latest)
	}
}

// TestMalformedMessagesGetTypedErrors sends malformed messages to every path. Each error must have
// a code of its own, not Unclassified.
func TestMalformedMessagesGetTypedErrors(t *testing.T) {
	_, primary := newCore(t, unwrapped)
	wrongType, err := msgpack.Marshal([]string{"not a request"})
	if err != nil {
		t.Fatal(err)
	}
	for path, handler := range primary.Handlers() {
		for _, body := range [][]byte{nil, []byte("garbage"), wrongType} {
			if _, err := handler(body); failure.CodeOf(err) == failure.Unclassified {
				t.Errorf("%s: untyped error: %v", path, err)
			}
		}
	}
	if _, err := primary.Handlers().Handle("/nowhere", nil); failure.CodeOf(err) != failure.NoSuch {
		t.Errorf("an unknown path: got %v, want NoSuch", err)
	}
}

func TestRepairDelayGrowsWithTheSizeOfTheState(t *testing.T) {
	for _, row := range []struct {
		bytes int
		delay time.Duration
	}{{0, time.Second}, {64 << 10, time.Second}, {1 << 20, 16 * time.Second}} {
		if delay := repairDelay(row.bytes); delay != row.delay {
			t.Errorf("repair delay for %d bytes: got %v, want %v", row.bytes, delay, row.delay)
		}
	}
}
