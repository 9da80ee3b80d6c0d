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

// powerStorage is a directory whose machine may lose power: a file is there for certain once
// Save has returned; each removed file may come back.
type powerStorage struct {
	files, removed map[string][]byte
	// loses has the power go in the middle of the next Save, before it returns.
	loses, keeps bool
}

var errPower = fmt.Errorf("the power is gone")

func newPowerStorage() *powerStorage {
	return &powerStorage{files: map[string][]byte{}, removed: map[string][]byte{}}
}

func (p *powerStorage) Save(name string, content []byte) error {
	if p.loses {
		if p.keeps {
			p.files[name] = content
		}
		return errPower
	}
	p.files[name] = content
	// The folder was synced: what was removed before stays away.
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

// restore brings back some of the files that were removed and not synced away.
func (p *powerStorage) restore(t *rapid.T) {
	for _, name := range slices.Sorted(maps.Keys(p.removed)) {
		if rapid.Bool().Draw(t, "comes back") {
			p.files[name] = p.removed[name]
		}
	}
	clear(p.removed)
	p.loses = false
}

// replicaModel is a copy on such a folder, and the contents that it may have after its power
// was lost: the last that was synced, or one whose sync did not return.
type replicaModel struct {
	storage *powerStorage
	replica *LocalReplica
	synced  map[string]string
	at      Version
	// perhaps is the content of a write that lost its power, by its version.
	uncertain   map[string]string
	uncertainAt Version
	number      uint64
	epoch       uint64
	// history is what each version holds that leads to the present one.
	history map[Version]map[string]string
}

// commit takes a version as the present one; those after it never were.
func (c *replicaModel) commit(content map[string]string, version Version) {
	c.synced, c.at = content, version
	for other := range c.history {
		if version.Before(other) {
			delete(c.history, other)
		}
	}
	c.history[version] = content
}

func (c *replicaModel) content() map[string]string {
	contents := map[string]string{}
	for name, section := range c.replica.Sections() {
		contents[name] = string(section.Content)
	}
	return contents
}

func (c *replicaModel) open(t *rapid.T) {
	replica, err := OpenLocalReplica(c.storage)
	if err != nil {
		t.Fatal(err)
	}
	c.replica = replica
	got := c.content()
	switch {
	case replica.Damage() != "":
		t.Fatalf("after a loss of power: %s", replica.Damage())
	case replica.Version() == c.at && maps.Equal(got, c.synced):
	case c.uncertain != nil && replica.Version() == c.uncertainAt && maps.Equal(got, c.uncertain):
		c.commit(c.uncertain, c.uncertainAt)
	default:
		t.Fatalf("%s %v after a loss of power, and %s %v was synced", replica.Version(), got, c.at, c.synced)
	}
	c.uncertain = nil
}

// write saves a batch or a snapshot, during which the power may fail.
func (c *replicaModel) write(t *rapid.T, next map[string]string, version Version, keep func() error) {
	c.storage.loses = rapid.IntRange(0, 4).Draw(t, "power") == 0
	c.storage.keeps = rapid.Bool().Draw(t, "kept")
	if err := keep(); err != nil {
		c.uncertain, c.uncertainAt = next, version
		c.storage.restore(t)
		c.open(t)
		return
	}
	c.commit(next, version)
}

// TestACopyOutlivesEveryLossOfPower draws writes, snapshots of an older version than the
// copy's own, as a backup gets whose last batch was never answered, and losses of power
// that bring some removed files back: the copy opens whole, with all that was synced.
func TestACopyOutlivesEveryLossOfPower(t *testing.T) {
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
				model.number++
				version := Version{Epoch: model.epoch, Number: model.at.Number + 1}
				batch := Batch{Version: version, Base: model.at, Sections: map[string]Section{}}
				next := maps.Clone(model.synced)
				for _, name := range sections {
					if rapid.Bool().Draw(t, name) {
						next[name] = fmt.Sprint(model.number)
						batch.Sections[name] = Section{Version: version, Content: []byte(next[name])}
					}
				}
				model.write(t, next, version, func() error { return model.replica.Write(batch) })
			},
			"snapshot": func(t *rapid.T) {
				// A version has one content: that of the present one, or of one before it.
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

// TestManyChangesStayBounded makes up to 10,000 changes, one each 15 s, and looks at what
// the disk holds and how long the copy takes to open.
func TestManyChangesStayBounded(t *testing.T) {
	const (
		mostFiles = 8
		mostBytes = 256 << 10
		mostStart = time.Second
	)
	model := newChangeModel()
	storage := newMemoryStorage()
	replica, err := OpenLocalReplica(storage)
	if err != nil {
		t.Fatal(err)
	}
	for number := 1; number <= 10_000; number++ {
		sent := order{builds: model.revision, gives: model.revision + 1}
		version := Version{Epoch: 1, Number: replica.Version().Number + 1}
		change := ChangeConfiguration(sent.id(), sent.id(), nil, PreparedConfiguration{}, sent.apply)
		if err := change(model.state, version, model.configurationAt); err != nil {
			t.Fatal(err)
		}
		model.configurationAt, model.revision = version, sent.gives
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
		again, err := OpenLocalReplica(storage)
		took := time.Since(began)
		t.Logf("after %d changes: %d files, %d bytes, opened in %v", number, len(storage.files), bytes, took)
		if err != nil || again.Damage() != "" || again.Version() != replica.Version() {
			t.Fatalf("%v %s %s", err, again.Damage(), again.Version())
		}
		if len(storage.files) > mostFiles || bytes > mostBytes || took > mostStart {
			t.Errorf("after %d changes: %d files, %d bytes, opened in %v", number, len(storage.files), bytes, took)
		}
	}
}
