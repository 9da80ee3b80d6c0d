package larder

import (
	"fmt"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/recipe"
	"seamloom.example/seamloom/internal/roster"
	"seamloom.example/seamloom/internal/rota"
	"seamloom.example/seamloom/internal/trouble"
)

// newLeader is a store that leads, whose batches the test commits itself.
func newLeader(test *testing.T) *Store {
	test.Helper()
	keeper, _, failure := OpenKeeper(time.Unix(0, 0), newMemoryShelf(), Seat{Address: "a"}, "a/1")
	if failure != nil {
		test.Fatal(failure)
	}
	copied, failure := OpenCopy(newMemoryShelf())
	if failure != nil {
		test.Fatal(failure)
	}
	store := NewStore(copied, keeper)
	if failure := store.Lead(1); failure != nil {
		test.Fatal(failure)
	}
	return store
}

func commit(test *testing.T, store *Store) {
	test.Helper()
	batch, found := store.Begin()
	if !found {
		test.Fatal("nothing to commit")
	}
	if failure := store.KeepOwn(batch); failure != nil {
		test.Fatal(failure)
	}
	if !store.Commit(batch) {
		test.Fatal("not committed")
	}
}

// do submits one change, commits, and gives its outcome.
func do(test *testing.T, store *Store, change Change) error {
	test.Helper()
	var outcome error
	store.Submit(change, func(_ Version, failure error) { outcome = failure })
	commit(test, store)
	return outcome
}

var evening = time.UnixMilli(1_800_000_000_000)

func claim(id, nonce string) Change {
	return Claim(evening, recipe.Entry{Inquiry: id, Courier: "courier-1", Run: 1, At: evening, Cause: nonce})
}

// TestClaimsShareOneSync lets a hundred claims come while one sync is under
// way, and wants them all in the next one, each id granted once.
func TestClaimsShareOneSync(test *testing.T) {
	store := newLeader(test)
	if failure := do(test, store, MoveHorizon(evening, 0)); failure != nil {
		test.Fatal(failure)
	}
	store.Submit(claim("first", "n"), func(Version, error) {})
	batch, _ := store.Begin()
	outcomes := map[trouble.Kind]int{}
	for number := range 100 {
		store.Submit(claim(fmt.Sprint(number%50), fmt.Sprint(number)), func(_ Version, failure error) { outcomes[trouble.KindOf(failure)]++ })
	}
	if again, _ := store.Begin(); again.Version != batch.Version {
		test.Fatalf("a second batch is under way: %s and %s", batch.Version, again.Version)
	}
	if failure := store.KeepOwn(batch); failure != nil || !store.Commit(batch) {
		test.Fatal(failure)
	}
	before, _ := store.Work()
	commit(test, store)
	after, _ := store.Work()
	if after-before != 1 || outcomes[trouble.Duplicate] != 50 || outcomes[trouble.Unsorted] != 50 {
		test.Errorf("%d syncs, outcomes %v", after-before, outcomes)
	}
}

// TestSameChangeAgainIsAccepted sends one change twice, as a link may, and then
// another under its id.
func TestSameChangeAgainIsAccepted(test *testing.T) {
	store := newLeader(test)
	put := func(text string) func([]byte) ([]byte, error) {
		return func([]byte) ([]byte, error) { return []byte(text), nil }
	}
	first := ChangeMenu("change-1", "digest-1", &Version{}, PreparedMenu{}, put(`{"services":{"a":{}}}`))
	if failure := do(test, store, first); failure != nil {
		test.Fatal(failure)
	}
	version := store.View().VersionOf(MenuDrawer)
	if failure := do(test, store, first); failure != nil || store.View().VersionOf(MenuDrawer) != version {
		test.Errorf("the same change again: %v, version %s became %s", failure, version, store.View().VersionOf(MenuDrawer))
	}
	if failure := do(test, store, ChangeMenu("change-1", "digest-2", &version, PreparedMenu{}, put(`{}`))); trouble.KindOf(failure) != trouble.Duplicate {
		test.Errorf("another change under the same id: %v", failure)
	}
}

// TestClaimsAreKeptThroughClockJumps moves the wall clock forward and back and
// wants no claim forgotten early and no new one refused.
func TestClaimsAreKeptThroughClockJumps(test *testing.T) {
	store := newLeader(test)
	if failure := do(test, store, claim("early", "n")); trouble.KindOf(failure) != trouble.NoPrimary {
		test.Errorf("a claim before there is a horizon: %v", failure)
	}
	for _, step := range []Change{MoveHorizon(evening, 0), claim("one", "n"), claim("one", "n"), MoveHorizon(evening.Add(48*time.Hour), 2*time.Second), claim("two", "n"), MoveHorizon(evening.Add(-48*time.Hour), 2*time.Second), claim("three", "n")} {
		if failure := do(test, store, step); failure != nil {
			test.Fatal(failure)
		}
	}
	if failure := do(test, store, claim("one", "another arrival")); trouble.KindOf(failure) != trouble.Duplicate {
		test.Errorf("after the jumps a used id is taken: %v", failure)
	}
	if failure := do(test, store, Claim(evening.Add(-Retention-time.Minute), recipe.Entry{Inquiry: "old"})); trouble.KindOf(failure) != trouble.TooOld {
		test.Errorf("an id older than the horizon: %v", failure)
	}
	for range 400 {
		if failure := do(test, store, MoveHorizon(evening.Add(48*time.Hour), 4*time.Second)); failure != nil {
			test.Fatal(failure)
		}
	}
	for name := range store.View().Drawers {
		if len(name) > len(ClaimsPrefix) && name[:len(ClaimsPrefix)] == ClaimsPrefix {
			test.Errorf("the drawer %s is kept for ever", name)
		}
	}
	if failure := do(test, store, claim("one", "much later")); trouble.KindOf(failure) != trouble.TooOld {
		test.Errorf("a forgotten id is taken again: %v", failure)
	}
}

// TestFlagsWaitForEveryRecordedMember registers members of two releases in
// turn with the enabling of flags.
func TestFlagsWaitForEveryRecordedMember(test *testing.T) {
	store := newLeader(test)
	supported := recipe.Supported(nil)
	older := recipe.Supported(recipe.List{recipe.OrderPatience})
	enabled := func() recipe.List {
		state, failure := store.View().State()
		if failure != nil {
			test.Fatal(failure)
		}
		return state.Flags.Enabled
	}
	member := func(name string, list recipe.List) Change {
		return Register(roster.Member{Name: name, Kind: roster.Courier, Supported: list})
	}
	for _, step := range []Change{member("a", supported), member("b", older), EnableFlags(supported)} {
		if failure := do(test, store, step); failure != nil {
			test.Fatal(failure)
		}
	}
	if got := enabled(); got.Has(recipe.OrderPatience) || !got.Has(recipe.PairPrice) {
		test.Errorf("with b of the older release: %v", got)
	}
	// Registration and enabling in one version: the one that comes first counts.
	store.Submit(member("b", supported), func(Version, error) {})
	store.Submit(member("c", older), func(Version, error) {})
	if failure := do(test, store, EnableFlags(supported)); failure != nil || enabled().Has(recipe.OrderPatience) {
		test.Errorf("enabled though c was recorded just before: %v", failure)
	}
	if failure := do(test, store, Retire("c")); failure != nil {
		test.Fatal(failure)
	}
	if failure := do(test, store, EnableFlags(supported)); failure != nil || !enabled().Has(recipe.OrderPatience) {
		test.Errorf("not enabled after c was retired: %v", failure)
	}
	if failure := do(test, store, member("c", older)); failure != nil || len(enabled()) != len(supported) {
		test.Errorf("a flag was disabled again: %v", enabled())
	}
	// A restricted node gets no duty, and may write no orders.
	if failure := do(test, store, GrantDuties([]rota.Duty{{Key: rota.PartsKey, Holder: "c"}}, nil)); failure != nil {
		test.Fatal(failure)
	}
	state, _ := store.View().State()
	if _, found := state.Rota.Duties[rota.PartsKey]; found {
		test.Error("a restricted node was given a duty")
	}
	if failure := do(test, store, GiveOrders(rota.Duty{}, []recipe.Order{{Server: "s", Part: "decode"}}, older)); trouble.KindOf(failure) != trouble.Restricted {
		test.Errorf("a restricted node wrote orders: %v", failure)
	}
	if failure := do(test, store, GiveOrders(rota.Duty{Key: rota.PartsKey, Holder: "x", Fence: 9}, nil, supported)); trouble.KindOf(failure) != trouble.NotHolder {
		test.Errorf("orders under a fence that is not in force: %v", failure)
	}
}

// TestConfigurationIsCheckedBeforeItIsTaken wants one that does not check to
// leave nothing behind.
func TestConfigurationIsCheckedBeforeItIsTaken(test *testing.T) {
	state := NewState()
	before := string(state.Menu)
	change := ChangeMenu("one", "", nil, PreparedMenu{}, func([]byte) ([]byte, error) { return []byte(`{"services":{"a":{"tries":0}}}`), nil })
	if failure := change(state, Version{1, 2}, Version{}); failure == nil || string(state.Menu) != before || len(state.Changes) != 0 {
		test.Errorf("it was taken: %v, %s", failure, state.Menu)
	}
}

// TestBackupRefusesAnOlderEpoch brings a backup a write of a primary whose epoch
// is over.
func TestBackupRefusesAnOlderEpoch(test *testing.T) {
	keeper, _, failure := OpenKeeper(time.Unix(0, 0), newMemoryShelf(), Seat{Address: "a"}, "a/1")
	if failure != nil {
		test.Fatal(failure)
	}
	copied, failure := OpenCopy(newMemoryShelf())
	if failure != nil {
		test.Fatal(failure)
	}
	store := NewStore(copied, keeper)
	if failure := store.Replicate(4, Batch{Version: Version{4, 1}}); failure != nil {
		test.Fatal(failure)
	}
	if failure := store.Replicate(3, Batch{Version: Version{4, 2}, Base: Version{4, 1}}); trouble.KindOf(failure) != trouble.OldEpoch {
		test.Errorf("a deposed primary's write: %v", failure)
	}
}

// TestServersAreForgotten takes the records of two servers out, of which one has got
// another holder meanwhile.
func TestServersAreForgotten(test *testing.T) {
	first, second := rota.ServerKey("a"), rota.ServerKey("b")
	state := &State{Rota: Duties{Duties: map[string]rota.Duty{first: {Key: first, Fence: 1}, second: {Key: second, Fence: 2}}, Fence: 2},
		Orders: Orders{Records: map[string]recipe.Record{"a": {}, "b": {}, "c": {}}}, dirty: map[string]bool{}}
	seen := map[string]rota.Duty{first: {Key: first, Fence: 1}, second: {Key: second, Fence: 1}}
	if failure := ForgetServers([]string{"a", "b", "c", "d"}, seen)(state, Version{}, Version{}); failure != nil {
		test.Fatal(failure)
	}
	if _, found := state.Rota.Duties[first]; found || state.Rota.Duties[second].Fence != 2 || state.Rota.Fence != 2 {
		test.Errorf("duties: %+v", state.Rota)
	}
	if _, found := state.Orders.Records["b"]; !found || len(state.Orders.Records) != 1 || !state.dirty[RotaDrawer] || !state.dirty[OrdersDrawer] {
		test.Errorf("orders: %+v, changed %v", state.Orders, state.dirty)
	}
}
