package replication

import (
	"fmt"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/codec"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/features"
	"seamloom.example/seamloom/internal/lease"
	"seamloom.example/seamloom/internal/membership"
)

// newLeader returns a store that leads without backups. The test itself commits its batches.
func newLeader(t *testing.T) *Store {
	t.Helper()
	witness, _, err := OpenWitness(time.Unix(0, 0), newMemoryStorage(), Replica{Address: "a"}, "a/1")
	if err != nil {
		t.Fatal(err)
	}
	local, err := OpenLocalReplica(newMemoryStorage())
	if err != nil {
		t.Fatal(err)
	}
	store := NewStore(local, witness)
	if err := store.Lead(1); err != nil {
		t.Fatal(err)
	}
	store.ResumeCommits(1)
	return store
}

func commit(t *testing.T, store *Store) {
	t.Helper()
	batch, found := store.NextBatch()
	if !found {
		t.Fatal("nothing to commit")
	}
	if err := store.WriteLocal(batch); err != nil {
		t.Fatal(err)
	}
	if !store.Commit(batch) {
		t.Fatal("not committed")
	}
}

// submitAndCommit submits one change, commits it and returns its outcome.
func submitAndCommit(t *testing.T, store *Store, change Change) error {
	t.Helper()
	var outcome error
	store.Submit(change, func(_ Version, err error) { outcome = err })
	commit(t, store)
	return outcome
}

var claimTime = time.UnixMilli(1_800_000_000_000)

func claim(id, nonce string) Change {
	return ClaimRequest(claimTime, codec.Entry{Request: id, Router: "courier-1", Attempt: 1, At: claimTime, Cause: nonce})
}

// TestClaimsShareOneSync submits a hundred claims while one sync is in progress: all of them must
// share the next sync, and each id must be granted once.
func TestClaimsShareOneSync(t *testing.T) {
	store := newLeader(t)
	if err := submitAndCommit(t, store, AdvanceHorizon(claimTime, 0)); err != nil {
		t.Fatal(err)
	}
	store.Submit(claim("first", "n"), func(Version, error) {})
	batch, _ := store.NextBatch()
	outcomes := map[failure.Code]int{}
	for number := range 100 {
		store.Submit(claim(fmt.Sprint(number%50), fmt.Sprint(number)), func(_ Version, err error) {
			outcomes[failure.CodeOf(err)]++
		})
	}
	if again, _ := store.NextBatch(); again.Version != batch.Version {
		t.Fatalf("got a second batch in flight: %s and %s", batch.Version, again.Version)
	}
	if err := store.WriteLocal(batch); err != nil || !store.Commit(batch) {
		t.Fatal(err)
	}
	before, _ := store.CommitCounts()
	commit(t, store)
	after, _ := store.CommitCounts()
	if after-before != 1 || outcomes[failure.Duplicate] != 50 || outcomes[failure.Unclassified] != 50 {
		t.Errorf("got %d syncs, outcomes %v, want 1 sync, 50 granted and 50 duplicates", after-before, outcomes)
	}
}

// TestRepeatedConfigurationChangeIsAccepted submits one change twice, because a message may be
// delivered twice, and then another change with the same id, which must be refused.
func TestRepeatedConfigurationChangeIsAccepted(t *testing.T) {
	store := newLeader(t)
	put := func(text string) func([]byte) ([]byte, error) {
		return func([]byte) ([]byte, error) { return []byte(text), nil }
	}
	first := ChangeConfiguration("change-1", "digest-1", &Version{}, PreparedConfiguration{}, put(`{"services":{"a":{}}}`))
	if err := submitAndCommit(t, store, first); err != nil {
		t.Fatal(err)
	}
	version := store.View().VersionOf(ConfigurationSection)
	if err := submitAndCommit(t, store, first); err != nil || store.View().VersionOf(ConfigurationSection) != version {
		t.Errorf("repetition of the change: got error %v, version %s before and %s after",
			err, version, store.View().VersionOf(ConfigurationSection))
	}
	other := ChangeConfiguration("change-1", "digest-2", &version, PreparedConfiguration{}, put(`{}`))
	if err := submitAndCommit(t, store, other); failure.CodeOf(err) != failure.Duplicate {
		t.Errorf("another change with the same id: got %v, want Duplicate", err)
	}
}

// TestClaimsSurviveClockJumps moves the wall clock forward and back: no claim may be forgotten
// early, and no new claim refused.
func TestClaimsSurviveClockJumps(t *testing.T) {
	store := newLeader(t)
	if err := submitAndCommit(t, store, claim("early", "n")); failure.CodeOf(err) != failure.NoPrimary {
		t.Errorf("a claim without a horizon: got %v, want NoPrimary", err)
	}
	for _, step := range []Change{
		AdvanceHorizon(claimTime, 0),
		claim("one", "n"),
		claim("one", "n"),
		AdvanceHorizon(claimTime.Add(48*time.Hour), 2*time.Second),
		claim("two", "n"),
		AdvanceHorizon(claimTime.Add(-48*time.Hour), 2*time.Second),
		claim("three", "n"),
	} {
		if err := submitAndCommit(t, store, step); err != nil {
			t.Fatal(err)
		}
	}
	if err := submitAndCommit(t, store, claim("one", "another arrival")); failure.CodeOf(err) != failure.Duplicate {
		t.Errorf("a claimed id after the clock jumps: got %v, want Duplicate", err)
	}
	old := ClaimRequest(claimTime.Add(-ClaimRetention-time.Minute), codec.Entry{Request: "old"})
	if err := submitAndCommit(t, store, old); failure.CodeOf(err) != failure.TooOld {
		t.Errorf("an id older than the horizon: got %v, want TooOld", err)
	}
	for range 400 {
		if err := submitAndCommit(t, store, AdvanceHorizon(claimTime.Add(48*time.Hour), 4*time.Second)); err != nil {
			t.Fatal(err)
		}
	}
	for name := range store.View().Sections {
		if len(name) > len(ClaimsPrefix) && name[:len(ClaimsPrefix)] == ClaimsPrefix {
			t.Errorf("section %s is still kept after its claims expired", name)
		}
	}
	if err := submitAndCommit(t, store, claim("one", "much later")); failure.CodeOf(err) != failure.TooOld {
		t.Errorf("an id whose claim has expired: got %v, want TooOld", err)
	}
}

// TestFlagsWaitForEveryRecordedMember alternates registrations of members of two releases with the
// enabling of flags: a flag is enabled only when every recorded member supports it.
func TestFlagsWaitForEveryRecordedMember(t *testing.T) {
	store := newLeader(t)
	supported := features.Supported(nil)
	older := features.Supported(features.List{features.OrderGracePeriod})
	enabled := func() features.List {
		state, err := store.View().State()
		if err != nil {
			t.Fatal(err)
		}
		return state.Flags.Enabled
	}
	member := func(name string, list features.List) Change {
		return RegisterMember(membership.Member{Name: name, Kind: membership.Router, Supported: list})
	}
	for _, step := range []Change{member("a", supported), member("b", older), EnableFlags(supported)} {
		if err := submitAndCommit(t, store, step); err != nil {
			t.Fatal(err)
		}
	}
	if got := enabled(); got.Has(features.OrderGracePeriod) || !got.Has(features.PairPrice) {
		t.Errorf("with member b of the older release: got flags %v, want all but OrderGracePeriod", got)
	}
	// Registrations and the enabling of flags in one version run in the order of their submission.
	store.Submit(member("b", supported), func(Version, error) {})
	store.Submit(member("c", older), func(Version, error) {})
	if err := submitAndCommit(t, store, EnableFlags(supported)); err != nil || enabled().Has(features.OrderGracePeriod) {
		t.Errorf("the flag was enabled although c was registered before (error %v)", err)
	}
	if err := submitAndCommit(t, store, RemoveMember("c")); err != nil {
		t.Fatal(err)
	}
	if err := submitAndCommit(t, store, EnableFlags(supported)); err != nil || !enabled().Has(features.OrderGracePeriod) {
		t.Errorf("the flag was not enabled after c was removed (error %v)", err)
	}
	if err := submitAndCommit(t, store, member("c", older)); err != nil || len(enabled()) != len(supported) {
		t.Errorf("got flags %v, want none disabled", enabled())
	}
	// A restricted node gets no role and may not write orders.
	if err := submitAndCommit(t, store, GrantRoles([]lease.Role{{Key: lease.ServerRolesKey, Holder: "c"}}, nil)); err != nil {
		t.Fatal(err)
	}
	state, _ := store.View().State()
	if _, found := state.Roles.Roles[lease.ServerRolesKey]; found {
		t.Error("a restricted node got a role")
	}
	restricted := IssueOrders(lease.Role{}, []codec.Order{{Server: "s", Role: "decode"}}, older)
	if err := submitAndCommit(t, store, restricted); failure.CodeOf(err) != failure.Restricted {
		t.Errorf("orders of a restricted node: got %v, want Restricted", err)
	}
	deposed := IssueOrders(lease.Role{Key: lease.ServerRolesKey, Holder: "x", FencingToken: 9}, nil, supported)
	if err := submitAndCommit(t, store, deposed); failure.CodeOf(err) != failure.NotLeaseHolder {
		t.Errorf("orders with another fencing token than the role's: got %v, want NotLeaseHolder", err)
	}
}

// TestInvalidConfigurationChangesNothing submits a configuration that fails its check: the state
// must stay as it was.
func TestInvalidConfigurationChangesNothing(t *testing.T) {
	state := NewState()
	before := string(state.Configuration)
	edit := func([]byte) ([]byte, error) { return []byte(`{"services":{"a":{"tries":0}}}`), nil }
	change := ChangeConfiguration("one", "", nil, PreparedConfiguration{}, edit)
	if err := change(state, Version{1, 2}, Version{}); err == nil || string(state.Configuration) != before || state.Changes.Count() != 0 {
		t.Errorf("got error %v, configuration %s, want an error and the old configuration", err, state.Configuration)
	}
}

// TestBackupRefusesAnOlderEpoch sends a backup a write of a deposed primary, whose epoch is older
// than the one that the backup has seen.
func TestBackupRefusesAnOlderEpoch(t *testing.T) {
	witness, _, err := OpenWitness(time.Unix(0, 0), newMemoryStorage(), Replica{Address: "a"}, "a/1")
	if err != nil {
		t.Fatal(err)
	}
	local, err := OpenLocalReplica(newMemoryStorage())
	if err != nil {
		t.Fatal(err)
	}
	store := NewStore(local, witness)
	if err := store.Replicate(4, Batch{Version: Version{4, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := store.Replicate(3, Batch{Version: Version{4, 2}, Base: Version{4, 1}}); failure.CodeOf(err) != failure.OldEpoch {
		t.Errorf("a write of a deposed primary: got %v, want OldEpoch", err)
	}
}

// TestRemoveServersKeepsReassignedRoles removes servers. The role of one of them was granted again
// after the caller had read the roles: this role and the server's order must stay.
func TestRemoveServersKeepsReassignedRoles(t *testing.T) {
	first, second := lease.ServerKey("a"), lease.ServerKey("b")
	state := &State{
		Roles: Roles{
			Roles: map[string]lease.Role{
				first:  {Key: first, FencingToken: 1},
				second: {Key: second, FencingToken: 2},
			},
			FencingToken: 2,
		},
		Orders: Orders{Records: map[string]codec.Record{"a": {}, "b": {}, "c": {}}},
		dirty:  map[string]bool{},
	}
	seen := map[string]lease.Role{
		first:  {Key: first, FencingToken: 1},
		second: {Key: second, FencingToken: 1},
	}
	if err := RemoveServers([]string{"a", "b", "c", "d"}, seen)(state, Version{}, Version{}); err != nil {
		t.Fatal(err)
	}
	if _, found := state.Roles.Roles[first]; found || state.Roles.Roles[second].FencingToken != 2 || state.Roles.FencingToken != 2 {
		t.Errorf("got roles %+v, want only that of b, and fencing token 2", state.Roles)
	}
	if _, found := state.Orders.Records["b"]; !found || len(state.Orders.Records) != 1 {
		t.Errorf("got orders %+v, want only that of b", state.Orders)
	}
	if !state.dirty[RolesSection] || !state.dirty[OrdersSection] {
		t.Errorf("got orders %+v, dirty sections %v, want roles and orders dirty", state.Orders, state.dirty)
	}
}

// TestABatchOfAnEarlierPairIsNotCommitted replaces the backups while a batch is in flight. The new
// backups start from a snapshot without the batch, so the batch may be committed only under the next
// epoch, after it was synced on the new backups.
func TestABatchOfAnEarlierPairIsNotCommitted(t *testing.T) {
	store := newLeader(t)
	acknowledged := false
	edit := func([]byte) ([]byte, error) { return []byte(`{"revision":1}`), nil }
	store.Submit(ChangeConfiguration("", "", nil, PreparedConfiguration{}, edit), func(Version, error) { acknowledged = true })
	batch, found := store.NextBatch()
	if !found {
		t.Fatal("got no batch")
	}
	if err := store.WriteLocal(batch); err != nil {
		t.Fatal(err)
	}
	snapshot, _ := store.PauseCommits()
	if _, included := snapshot.Sections[ConfigurationSection]; included {
		t.Fatal("the snapshot includes an uncommitted batch")
	}
	store.ResumeCommits(2)
	if store.Commit(batch) || acknowledged {
		t.Fatal("a batch was committed that is missing from the snapshot for the new backups")
	}
	again, found := store.NextBatch()
	if !found || again.Version.Epoch != 2 {
		t.Fatalf("got batch %+v, want one of epoch 2", again.Version)
	}
	if err := store.WriteLocal(again); err != nil {
		t.Fatal(err)
	}
	if !store.Commit(again) || !acknowledged {
		t.Fatal("the batch of the next epoch was not committed")
	}
}

// TestALateSnapshotIsRefused installs the later of two snapshots of one primary twice, and then the
// earlier one, which must be refused, so that the replica keeps the changes that were acknowledged
// between the two. A snapshot of an older release, which has no sequence number, must be installed on
// another replica.
func TestALateSnapshotIsRefused(t *testing.T) {
	primary, replica := newLeader(t), newLeader(t)
	replica.StepDown()
	earlier, _ := primary.Snapshot()
	edit := func([]byte) ([]byte, error) { return []byte(`{"revision":1}`), nil }
	if err := submitAndCommit(t, primary, ChangeConfiguration("", "", nil, PreparedConfiguration{}, edit)); err != nil {
		t.Fatal(err)
	}
	later, _ := primary.PauseCommits()
	for _, snapshot := range []Snapshot{later, later} {
		if err := replica.Install(snapshot); err != nil {
			t.Fatal(err)
		}
	}
	if err := replica.Install(earlier); failure.CodeOf(err) != failure.Behind {
		t.Errorf("an earlier snapshot: got %v, want Behind", err)
	}
	if version := replica.LocalReplica().Version(); version != later.Version {
		t.Errorf("got version %s, want that of the later snapshot", version)
	}
	fresh := newLeader(t)
	fresh.StepDown()
	earlier.Sequence = 0
	if err := fresh.Install(earlier); err != nil {
		t.Errorf("a snapshot without a sequence number: got %v, want no error", err)
	}
}
