package replication

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// powerStorage simulates the directory of a machine that may lose power. A file survives a power loss once
// its Save has returned without an error. A removed file may reappear after a power loss until the
// next Save, which syncs the directory.
type powerStorage struct {
	files, removed map[string][]byte
	// failNextSave makes the power fail during the next Save; keepsFailedSave then keeps the file
	// of that Save.
	failNextSave, keepsFailedSave bool
}

var errPower = fmt.Errorf("the power failed")

func newPowerStorage() *powerStorage {
	return &powerStorage{files: map[string][]byte{}, removed: map[string][]byte{}}
}

func (p *powerStorage) Save(name string, content []byte) error {
	if p.failNextSave {
		if p.keepsFailedSave {
			p.files[name] = content
		}
		return errPower
	}
	p.files[name] = content
	// The directory was synced: files that were removed before stay removed.
	clear(p.removed)
	return nil
}

func (p *powerStorage) Load() (map[string][]byte, []string, error) {
	return maps.Clone(p.files), nil, nil
}

func (p *powerStorage) Remove(names []string) error {
	for _, name := range names {
		if content, found := p.files[name]; found {
			p.removed[name] = content
			delete(p.files, name)
		}
	}
	return nil
}

// restore ends a power loss: some of the files whose removal was not synced reappear, and saves
// succeed again.
func (p *powerStorage) restore(t *rapid.T) {
	for _, name := range slices.Sorted(maps.Keys(p.removed)) {
		if rapid.Bool().Draw(t, "restored") {
			p.files[name] = p.removed[name]
		}
	}
	clear(p.removed)
	p.failNextSave = false
}

// replicaModel is a replica on a powerStorage, together with its expected content. After a power loss
// the replica has the content of the last completed write, or that of a write during which the power
// failed.
type replicaModel struct {
	storage *powerStorage
	replica *LocalReplica
	// synced is the content of the last completed write, syncedAt its version.
	synced   map[string]string
	syncedAt Version
	// uncertain is the content of a write during which the power failed, uncertainAt its version.
	uncertain   map[string]string
	uncertainAt Version
	// batches is the number of batches so far. Each batch writes this number as the new content of
	// its sections.
	batches uint64
	epoch   uint64
	// history holds the contents of the present version and of earlier versions.
	history map[Version]map[string]string
}

// commit makes a version the present one. It discards later versions from the history, because a
// snapshot may return to an earlier version.
func (m *replicaModel) commit(content map[string]string, version Version) {
	m.synced, m.syncedAt = content, version
	for other := range m.history {
		if version.Before(other) {
			delete(m.history, other)
		}
	}
	m.history[version] = content
}

func (m *replicaModel) content() map[string]string {
	contents := map[string]string{}
	for name, section := range m.replica.Sections() {
		contents[name] = string(section.Content)
	}
	return contents
}

func (m *replicaModel) open(t *rapid.T) {
	replica, err := OpenLocalReplica(m.storage)
	if err != nil {
		t.Fatal(err)
	}
	m.replica = replica
	got := m.content()
	switch {
	case replica.Damage() != "":
		t.Fatalf("damaged after a power loss: %s", replica.Damage())
	case replica.Version() == m.syncedAt && maps.Equal(got, m.synced):
	case m.uncertain != nil && replica.Version() == m.uncertainAt && maps.Equal(got, m.uncertain):
		m.commit(m.uncertain, m.uncertainAt)
	default:
		t.Fatalf("after a power loss: got version %s %v, want %s %v, which was synced", replica.Version(), got, m.syncedAt, m.synced)
	}
	m.uncertain = nil
}

// write calls save, which writes a batch or a snapshot, and during which the power may fail.
func (m *replicaModel) write(t *rapid.T, next map[string]string, version Version, save func() error) {
	m.storage.failNextSave = rapid.IntRange(0, 4).Draw(t, "power") == 0
	m.storage.keepsFailedSave = rapid.Bool().Draw(t, "kept")
	if err := save(); err != nil {
		m.uncertain, m.uncertainAt = next, version
		m.storage.restore(t)
		m.open(t)
		return
	}
	m.commit(next, version)
}

// TestReplicaSurvivesPowerLoss draws writes, snapshots and power losses, after which some removed
// files reappear. A snapshot may be older than the replica, as for a backup whose last batch was
// never acknowledged. After each power loss the replica must open undamaged, with everything that was
// synced.
func TestReplicaSurvivesPowerLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &replicaModel{
			storage: newPowerStorage(),
			synced:  map[string]string{},
			epoch:   1,
			history: map[Version]map[string]string{},
		}
		model.open(t)
		sections := []string{"a", "b", "c", "d"}
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				model.batches++
				version := Version{Epoch: model.epoch, Number: model.syncedAt.Number + 1}
				batch := Batch{Version: version, Base: model.syncedAt, Sections: map[string]Section{}}
				next := maps.Clone(model.synced)
				for _, name := range sections {
					if rapid.Bool().Draw(t, name) {
						next[name] = fmt.Sprint(model.batches)
						batch.Sections[name] = Section{Version: version, Content: []byte(next[name])}
					}
				}
				model.write(t, next, version, func() error { return model.replica.Write(batch) })
			},
			"snapshot": func(t *rapid.T) {
				// The content of a snapshot must be that of its version: the present one or an
				// earlier one.
				versions := slices.SortedFunc(maps.Keys(model.history), func(left, right Version) int {
					return cmp.Or(cmp.Compare(left.Epoch, right.Epoch), cmp.Compare(left.Number, right.Number))
				})
				back := rapid.IntRange(0, 2).Draw(t, "back")
				if len(versions) <= back {
					return
				}
				version := versions[len(versions)-1-back]
				next := model.history[version]
				snapshot := Snapshot{Epoch: model.epoch + 1, Version: version, Sections: map[string]Section{}}
				for name, content := range next {
					snapshot.Sections[name] = Section{Version: version, Content: []byte(content)}
				}
				model.epoch++
				model.write(t, next, version, func() error { return model.replica.Restore(snapshot) })
			},
			"power": func(t *rapid.T) {
				model.storage.restore(t)
				model.open(t)
			},
		})
	})
}

// TestStorageStaysBoundedAfterManyChanges makes 10,000 changes, one every 15 s, and checks the size
// of the stored files and how long the replica takes to open.
func TestStorageStaysBoundedAfterManyChanges(t *testing.T) {
	const (
		maxFiles    = 8
		maxBytes    = 256 << 10
		maxOpenTime = time.Second
	)
	model := newChangeModel()
	storage := newMemoryStorage()
	replica, err := OpenLocalReplica(storage)
	if err != nil {
		t.Fatal(err)
	}
	for number := 1; number <= 10_000; number++ {
		sent := sentChange{base: model.revision, written: model.revision + 1}
		version := Version{Epoch: 1, Number: replica.Version().Number + 1}
		change := ChangeConfiguration(sent.id(), sent.id(), nil, PreparedConfiguration{}, sent.apply)
		if err := change(model.state, version, model.configurationAt); err != nil {
			t.Fatal(err)
		}
		model.configurationAt, model.revision = version, sent.written
		model.now = model.now.Add(15 * time.Second)
		_ = AdvanceHorizon(model.now, 30*time.Second)(model.state, version, version)
		sections, removed, err := model.state.encodeDirty(version)
		if err != nil {
			t.Fatal(err)
		}
		batch := Batch{Version: version, Base: replica.Version(), Sections: sections, Removed: removed}
		if err := replica.Write(batch); err != nil {
			t.Fatal(err)
		}
		if number != 100 && number != 1000 && number != 10_000 {
			continue
		}
		bytes := 0
		for _, content := range storage.files {
			bytes += len(content)
		}
		began := time.Now()
		reopened, err := OpenLocalReplica(storage)
		took := time.Since(began)
		t.Logf("after %d changes: %d files, %d bytes, opened in %v", number, len(storage.files), bytes, took)
		if err != nil || reopened.Damage() != "" || reopened.Version() != replica.Version() {
			t.Fatalf("got error %v, damage %q, version %s, want neither and the same version", err, reopened.Damage(), reopened.Version())
		}
		if len(storage.files) > maxFiles || bytes > maxBytes || took > maxOpenTime {
			t.Errorf("after %d changes: got %d files, %d bytes, opened in %v, want %d files, %d bytes and %v at most",
				number, len(storage.files), bytes, took, maxFiles, maxBytes, maxOpenTime)
		}
	}
}
