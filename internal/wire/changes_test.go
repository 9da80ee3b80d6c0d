package wire_test

import (
	"fmt"
	"math/rand"
	"reflect"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/wire"
)

// changesStart is the time of the first step in TestServerChangesLeadToTheNewestList.
var changesStart = time.Unix(1000, 0)

// TestServerChangesLeadToTheNewestList replaces, removes, restores and warms up servers at random. Applied to
// any earlier list, the changes since that list must result in the newest list. Only the last 32 changes have
// to be known; older lists are skipped once their changes are unknown.
func TestServerChangesLeadToTheNewestList(t *testing.T) {
	for seed := range int64(200) {
		random := rand.New(rand.NewSource(seed))
		var list membership.ServerList
		earlier := map[uint64][]membership.Server{}
		for step := range 80 {
			now := changesStart.Add(time.Duration(step) * 700 * time.Millisecond)
			var read []membership.Server
			for number := range 12 {
				if random.Intn(6) == 0 {
					continue
				}
				server := membership.Server{Name: fmt.Sprintf("server-%d", number), Leaving: random.Intn(30) == 0, Slots: 16 + random.Intn(20)/19}
				if random.Intn(40) == 0 {
					server.Warming = 3 * time.Second
				}
				read = append(read, server)
			}
			random.Shuffle(len(read), func(left, right int) { read[left], read[right] = read[right], read[left] })
			if random.Intn(3) > 0 {
				list.Update(now, read)
			}
			want := list.Servers(now)
			for change, servers := range earlier {
				changed, removed, known := list.ChangesSince(now, change)
				if !known {
					if change+32 >= list.Changes() {
						t.Fatalf("seed %d: the changes since change %d of %d are not known", seed, change, list.Changes())
					}
					continue
				}
				got := wire.ServerChanges{Changed: changed, Removed: removed}.Apply(servers)
				if !sameServers(got, want) {
					t.Fatalf("seed %d, step %d: the changes since change %d lead to another list: got\n%+v\nwant\n%+v", seed, step, change, got, want)
				}
			}
			if list.Changes() > 0 {
				earlier[list.Changes()] = want
			}
		}
		if _, _, known := list.ChangesSince(changesStart, list.Changes()+1); known {
			t.Fatal("the changes since a future change are known")
		}
	}
}

// sameServers reports whether two lists are equal except for the remaining warm-up times, which
// depend on when the list is read.
func sameServers(got, want []membership.Server) bool {
	if len(got) != len(want) {
		return false
	}
	for position := range got {
		left, right := got[position], want[position]
		left.Warming, right.Warming = 0, 0
		if !reflect.DeepEqual(left, right) {
			return false
		}
	}
	return true
}

// TestLoadChangesLeadToTheNewReports computes the changes between two random sets of reports. The changes
// applied to the first set must result in the second set. Truncated changes must not fit the first set.
func TestLoadChangesLeadToTheNewReports(t *testing.T) {
	for seed := range int64(500) {
		random := rand.New(rand.NewSource(seed))
		base, target := randomReports(random), randomReports(random)
		changes := wire.NewLoadChanges(1, base, target)
		got, fits := changes.Apply(base)
		if !fits || len(got) != len(target) || len(got) > 0 && !reflect.DeepEqual(got, target) {
			t.Fatalf("seed %d: changes fit: %v; got\n%+v\nwant\n%+v", seed, fits, got, target)
		}
		if length := len(changes.Differences); length > 0 {
			changes.Differences = changes.Differences[:length-1]
			if _, fits := changes.Apply(base); fits {
				t.Fatalf("seed %d: truncated changes fit the base", seed)
			}
		}
	}
}

// randomReports returns random load reports of some of 20 servers, sorted by server name.
func randomReports(random *rand.Rand) []wire.LoadReport {
	var reports []wire.LoadReport
	for number := range 20 {
		if random.Intn(4) == 0 {
			continue
		}
		report := wire.LoadReport{Server: fmt.Sprintf("server-%02d", number), Role: "decode", Running: random.Intn(3),
			Waiting: random.Intn(2), MemoryUsed: random.Intn(2) * random.Intn(1<<30), MemoryTotal: 1 << 30, Age: random.Intn(900)}
		if random.Intn(10) == 0 {
			report.Role, report.Changing, report.Orders = "prefill", true, uint(random.Intn(9))
		}
		reports = append(reports, report)
	}
	wire.SortReports(reports)
	return reports
}

// TestUpdatesWithoutChangesAreEncodedAsBefore expects that an update for a node of an older release contains
// no new key.
func TestUpdatesWithoutChangesAreEncodedAsBefore(t *testing.T) {
	type earlierServers struct {
		Revision uint64              `msgpack:"mark"`
		Age      time.Duration       `msgpack:"age"`
		Sent     bool                `msgpack:"sent,omitempty"`
		Servers  []membership.Server `msgpack:"servers,omitempty"`
	}
	servers := []membership.Server{{Name: "a", Warming: time.Second}}
	now := encode(t, wire.ServersUpdate{Revision: 7, Age: time.Second, Sent: true, Servers: servers})
	before := encode(t, earlierServers{Revision: 7, Age: time.Second, Sent: true, Servers: servers})
	if string(now) != string(before) {
		t.Errorf("the encoded update: got\n%x\nwant\n%x", now, before)
	}
}

func encode(t *testing.T, message any) []byte {
	t.Helper()
	encoded, err := msgpack.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}
