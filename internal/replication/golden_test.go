package replication

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"seamloom.example/seamloom/internal/adapters/storage"
	"seamloom.example/seamloom/internal/config"
)

// goldenFolder holds the disks of three controllers as release facc4d7 left them after a minute of
// requests, two evacuations, the end of one of them, and the shutdown of all three. The folder also
// holds each section with every field set.
const goldenFolder = "testdata/facc4d7"

// openGoldenDisk opens a copy of one of the disks in goldenFolder.
func openGoldenDisk(t *testing.T, disk string) (*Witness, *LocalReplica) {
	t.Helper()
	folder := t.TempDir()
	if err := os.CopyFS(folder, os.DirFS(filepath.Join(goldenFolder, disk))); err != nil {
		t.Fatal(err)
	}
	witnessStorage, err := storage.OpenDirectory(storage.OSDisk{}, filepath.Join(folder, "keeper"))
	if err != nil {
		t.Fatal(err)
	}
	replicaStorage, err := storage.OpenDirectory(storage.OSDisk{}, filepath.Join(folder, "larder"))
	if err != nil {
		t.Fatal(err)
	}
	witness, blank, err := OpenWitness(time.Now(), witnessStorage, Replica{Name: "expediter"}, "fresh")
	if err != nil || blank {
		t.Fatalf("OpenWitness: got blank %t, error %v, want neither", blank, err)
	}
	replica, err := OpenLocalReplica(replicaStorage)
	if err != nil || replica.Damage() != "" {
		t.Fatalf("OpenLocalReplica: got damage %q, error %v, want neither", replica.Damage(), err)
	}
	return witness, replica
}

// TestDisksOfEarlierReleasesAreRead opens the disks of release facc4d7, which must hold everything
// that the controllers of that release had acknowledged.
func TestDisksOfEarlierReleasesAreRead(t *testing.T) {
	for _, disk := range []struct {
		name    string
		version Version
		inSync  bool
	}{
		{"disk-1", Version{Epoch: 3, Number: 66}, false},
		{"disk-2", Version{Epoch: 3, Number: 158}, true},
		{"disk-3", Version{Epoch: 3, Number: 158}, true},
	} {
		t.Run(disk.name, func(t *testing.T) {
			witness, replica := openGoldenDisk(t, disk.name)
			membership := witness.Membership()
			if membership.Epoch != 3 || len(membership.Witnesses) != 3 || witness.Promised() < membership.Epoch {
				t.Errorf("got membership %+v, promised epoch %d, want epoch 3 with three witnesses", membership, witness.Promised())
			}
			if membership.InSync(witness.Replica().Identity) != disk.inSync {
				t.Errorf("replica in sync by the membership on its own disk: got %t, want %t", !disk.inSync, disk.inSync)
			}
			if replica.Version() != disk.version {
				t.Errorf("got version %s, want %s", replica.Version(), disk.version)
			}
			state, err := ReadState(replica.Sections())
			if err != nil {
				t.Fatal(err)
			}
			checkGoldenState(t, state)
		})
	}
}

func checkGoldenState(t *testing.T, state *State) {
	t.Helper()
	configuration, err := config.Check(state.Configuration)
	if err != nil || len(configuration.Services) != 3 || configuration.Evacuated("harbour") || !configuration.Evacuated("dunes") {
		t.Errorf("got configuration %s, error %v, want three services and only dunes evacuated", state.Configuration, err)
	}
	if len(state.Members) != 10 || len(state.Flags.Enabled) == 0 || len(state.Roles.Roles) != 10 || state.Roles.FencingToken == 0 {
		t.Errorf("got %d members, flags %v, %d roles, token %d, want 10 members, flags, 10 roles, a token",
			len(state.Members), state.Flags.Enabled, len(state.Roles.Roles), state.Roles.FencingToken)
	}
	if len(state.Orders.Records) == 0 || state.Changes.Count() != 4 || state.Horizon.IsZero() {
		t.Errorf("got %d orders, %d changes, horizon %s, want orders, 4 changes, a horizon",
			len(state.Orders.Records), state.Changes.Count(), state.Horizon)
	}
	for _, record := range state.Changes.single {
		if record.ID == "" || record.Digest == "" || record.Version.Epoch == 0 {
			t.Errorf("got change %+v, want an id, a digest and a version", record)
		}
	}
}

// TestSectionsOfEarlierReleasesAreReadAndWritten decodes each section with every field set and
// encodes it again: every key must have the value that the earlier release wrote.
func TestSectionsOfEarlierReleasesAreReadAndWritten(t *testing.T) {
	const claims = ClaimsPrefix + "1"
	sections := map[string]Section{}
	files := map[string]string{
		MembersSection: "members", FlagsSection: "flags", RolesSection: "roles", OrdersSection: "orders",
		ChangesSection: "changes", HorizonSection: "horizon", claims: "claims",
	}
	for section, file := range files {
		content, err := os.ReadFile(filepath.Join(goldenFolder, "section_"+file+".msgpack"))
		if err != nil {
			t.Fatal(err)
		}
		sections[section] = Section{Content: content}
	}
	state, err := ReadState(sections)
	if err != nil {
		t.Fatal(err)
	}
	for section := range sections {
		state.MarkDirty(section)
	}
	written, removed, err := state.encodeDirty(Version{Epoch: 1, Number: 1})
	if err != nil || len(removed) > 0 {
		t.Fatalf("encodeDirty: got removed sections %v, error %v, want neither", removed, err)
	}
	for section := range sections {
		if want, got := decodeUntyped(t, sections[section].Content),
			decodeUntyped(t, written[section].Content); !reflect.DeepEqual(want, got) {
			t.Errorf("section %s: want\n%v\ngot\n%v", strings.TrimSuffix(section, "/1"), want, got)
		}
	}
}

// decodeUntyped decodes msgpack without a struct type, so that no key is dropped.
func decodeUntyped(t *testing.T, encoded []byte) any {
	t.Helper()
	var value any
	if err := msgpack.Unmarshal(encoded, &value); err != nil {
		t.Fatal(err)
	}
	return value
}
