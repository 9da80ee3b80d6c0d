package replication

import (
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/features"
)

// changeCosts holds what a series of many changes costs: bytes, files and time.
type changeCosts struct {
	accepted, refused int
	// wire is the largest number of bytes that a change sent to a backup, disk the largest number that
	// a change wrote to a disk.
	wire, disk int
	// snapshot is the size of the largest snapshot for a blank disk. stored is the total size of the
	// files on the primary's disk at the end, files their number.
	snapshot, stored, files int
	// catchUp is the longest time that a blank disk took to install a snapshot.
	catchUp time.Duration
}

// measureChanges makes changes at intervals of step in virtual time and returns their costs. After
// every 1,000th change the primary restarts from its disk, and after every 1,500th the backup's disk is
// replaced by a blank one.
func measureChanges(t *testing.T, changes int, step time.Duration, enabled features.List) changeCosts {
	t.Helper()
	disk, backupDisk := newMemoryStorage(), newMemoryStorage()
	replica, err := OpenLocalReplica(disk)
	if err != nil {
		t.Fatal(err)
	}
	backup, err := OpenLocalReplica(backupDisk)
	if err != nil {
		t.Fatal(err)
	}
	state := NewState()
	state.Flags.Enabled = enabled
	state.MarkDirty(FlagsSection)
	now := time.Unix(2_000_000_000, 0)
	var costs changeCosts
	for number := range changes {
		now = now.Add(step)
		version := Version{Epoch: 1, Number: uint64(number) + 1}
		if number%20 == 0 {
			_ = AdvanceHorizon(now, time.Hour)(state, version, Version{})
		}
		id := fmt.Sprintf("revision-%032x", number)
		text := fmt.Appendf(nil, `{"revision":%d}`, number+1)
		edit := func([]byte) ([]byte, error) { return text, nil }
		switch err := ChangeConfiguration(id, id[9:], nil, PreparedConfiguration{}, edit)(state, version, Version{}); failure.CodeOf(err) {
		case failure.Busy:
			costs.refused++
		case failure.Unclassified:
			if err != nil {
				t.Fatal(err)
			}
			costs.accepted++
		default:
			t.Fatal(err)
		}
		sections, removed, err := state.encodeDirty(version)
		if err != nil {
			t.Fatal(err)
		}
		costs.commit(t, Batch{Version: version, Base: replica.Version(), Sections: sections, Removed: removed}, replica, backup, disk)
		if number%1000 == 999 {
			if replica, err = OpenLocalReplica(disk); err != nil || replica.Damage() != "" {
				t.Fatalf("reopened the replica: got error %v, damage %q", err, replica.Damage())
			}
			if state, err = ReadState(replica.Sections()); err != nil {
				t.Fatal(err)
			}
		}
		if number%1500 == 1499 {
			backupDisk = newMemoryStorage()
			backup = costs.replaceBackup(t, replica, backupDisk)
		}
		if _, found := state.Changes.Find(id); !found && err == nil && costs.refused == 0 {
			t.Fatalf("change %d has no change record", number)
		}
	}
	for _, content := range disk.files {
		costs.stored += len(content)
		costs.files++
	}
	return costs
}

// commit writes a batch to both replicas and records its sizes.
func (s *changeCosts) commit(t *testing.T, batch Batch, replica, backup *LocalReplica, disk *memoryStorage) {
	t.Helper()
	encoded, err := msgpack.Marshal(batch)
	if err != nil {
		t.Fatal(err)
	}
	s.wire = max(s.wire, len(encoded))
	for _, local := range []*LocalReplica{replica, backup} {
		batch.Base = local.Version()
		if err := local.Write(batch); err != nil {
			t.Fatal(err)
		}
	}
	s.disk = max(s.disk, len(disk.files[fileName(batch.Version)]))
}

// replaceBackup installs a snapshot of the primary's state on a blank disk.
func (s *changeCosts) replaceBackup(t *testing.T, replica *LocalReplica, disk *memoryStorage) *LocalReplica {
	t.Helper()
	snapshot := Snapshot{Epoch: 1, Version: replica.Version(), Sections: replica.Sections()}
	encoded, err := msgpack.Marshal(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	s.snapshot = max(s.snapshot, len(encoded))
	began := time.Now()
	blank, err := OpenLocalReplica(disk)
	if err != nil {
		t.Fatal(err)
	}
	if err := blank.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	s.catchUp = max(s.catchUp, time.Since(began))
	return blank
}

// TestCostOfFrequentChangesIsBounded makes 10,000 changes in ten minutes, with restarts of the primary
// and blank disks of the backup in between. No change may be refused, each may send and store only a
// few kB, and a blank disk must catch up within a second. For comparison the test makes a twentieth of
// the changes with all records in one section: a change must then send at least five times as many
// bytes.
func TestCostOfFrequentChangesIsBounded(t *testing.T) {
	const changes, step = 10_000, 60 * time.Millisecond
	oneSection := measureChanges(t, changes/20, step, nil)
	manySections := measureChanges(t, changes, step, features.List{features.ChangeSections})
	t.Logf("one section: %+v", oneSection)
	t.Logf("sections:    %+v", manySections)
	if manySections.refused > 0 || manySections.accepted != changes {
		t.Errorf("got %d changes refused, want all accepted", manySections.refused)
	}
	if manySections.wire > 16<<10 || manySections.disk > 32<<10 {
		t.Errorf("a change sends %d bytes and stores %d bytes, want 16 KiB and 32 KiB at most", manySections.wire, manySections.disk)
	}
	if manySections.snapshot > 4<<20 || manySections.stored > 4<<20 || manySections.files > 2*changes/changeSectionRecords {
		t.Errorf("got a snapshot of %d bytes and %d files of %d bytes in total, want 4 MiB, %d files and 4 MiB at most",
			manySections.snapshot, manySections.files, manySections.stored, 2*changes/changeSectionRecords)
	}
	if manySections.catchUp > time.Second {
		t.Errorf("a blank disk took %v to catch up, want 1s at most", manySections.catchUp)
	}
	if oneSection.wire < 5*manySections.wire {
		t.Errorf("a change with all records in one section sends less than five times as many bytes: %+v", oneSection)
	}
	// Records are dropped when their retention is over.
	fewChanges := measureChanges(t, 200, ChangeRetention/20, features.List{features.ChangeSections})
	if fewChanges.stored > 64<<10 {
		t.Errorf("got %d bytes stored after few changes over a long time, want 64 KiB at most", fewChanges.stored)
	}
}
