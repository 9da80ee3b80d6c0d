package controller

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/adapters/storage"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/replication"
)

// goldenDisk is a controller's data folder as release facc4d7 wrote it.
const goldenDisk = "../../replication/testdata/facc4d7/disk-2"

var errStopped = errors.New("the machine has stopped")

// stoppingDisk simulates a machine that stops: after a number of renames, removals and directory syncs, all
// further calls of these kinds fail.
type stoppingDisk struct {
	storage.OSDisk
	// remaining is the number of renames, removals and directory syncs that still succeed.
	remaining int
}

// step counts a call, and fails if no more calls are allowed.
func (s *stoppingDisk) step() error {
	s.remaining--
	if s.remaining < 0 {
		return errStopped
	}
	return nil
}

func (s *stoppingDisk) Rename(from, to string) error {
	if err := s.step(); err != nil {
		return err
	}
	return s.OSDisk.Rename(from, to)
}

func (s *stoppingDisk) SyncDirectory(path string) error {
	if err := s.step(); err != nil {
		return err
	}
	return s.OSDisk.SyncDirectory(path)
}

func (s *stoppingDisk) Remove(path string) error {
	if err := s.step(); err != nil {
		return err
	}
	return s.OSDisk.Remove(path)
}

// earlierFolders creates an empty data folder of the current release, and one of an earlier release that contains
// a copy of goldenDisk.
func earlierFolders(t *testing.T) (dataFolder, earlier string) {
	t.Helper()
	root := t.TempDir()
	dataFolder, earlier = filepath.Join(root, "controller"), filepath.Join(root, "expediter")
	if err := os.CopyFS(earlier, os.DirFS(goldenDisk)); err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(dataFolder, 0o755); err != nil {
		t.Fatal(err)
	}
	return dataFolder, earlier
}

// openWitness opens the witness in a data folder, and reports whether it is blank.
func openWitness(t *testing.T, folder string) (*replication.Witness, bool) {
	t.Helper()
	directory, err := storage.OpenDirectory(storage.OSDisk{}, filepath.Join(folder, witnessFolder))
	if err != nil {
		t.Fatal(err)
	}
	witness, blank, err := replication.OpenWitness(time.Now(), directory, replication.Replica{}, "fresh")
	if err != nil {
		t.Fatal(err)
	}
	return witness, blank
}

// TestInterruptedMoveIsCompleted stops the machine after each step of the move and starts it again. The witness's
// identity and the replica's files must then be in the controller's data folder, and no longer in the earlier one.
func TestInterruptedMoveIsCompleted(t *testing.T) {
	for calls := range 12 {
		dataFolder, earlier := earlierFolders(t)
		original, err := readStoredData(storage.OSDisk{}, earlier)
		if err != nil {
			t.Fatal(err)
		}
		// The controller has started on the empty folder before, with a release that did not move data.
		openWitness(t, dataFolder)
		_, err = adoptEarlierData(&stoppingDisk{remaining: calls}, dataFolder, []string{earlier})
		if err != nil && failure.CodeOf(err) != failure.Disk {
			t.Fatal(err)
		}
		if _, err := adoptEarlierData(storage.OSDisk{}, dataFolder, []string{earlier}); err != nil {
			t.Fatalf("restart after %d steps: got error %v, want none", calls, err)
		}
		moved, err := readStoredData(storage.OSDisk{}, dataFolder)
		if err != nil || moved.Identity != original.Identity || moved.Epoch != original.Epoch || !moved.Files {
			t.Fatalf("restart after %d steps: the data folder contains %+v, error %v, want %+v", calls, moved, err, original)
		}
		if rest, err := readStoredData(storage.OSDisk{}, earlier); err != nil || rest.Joined() {
			t.Fatalf("restart after %d steps: the earlier folder contains %+v, error %v, want no data", calls, rest, err)
		}
		if witness, blank := openWitness(t, dataFolder); blank || witness.Replica().Identity != original.Identity {
			t.Fatalf("restart after %d steps: got witness %+v, blank %t, want identity %s", calls, witness.Replica(), blank, original.Identity)
		}
	}
}

// TestDataInTwoFoldersIsNotMoved checks that nothing is moved if both folders contain data, because the disks do
// not show which data is newer.
func TestDataInTwoFoldersIsNotMoved(t *testing.T) {
	dataFolder, earlier := earlierFolders(t)
	if err := os.CopyFS(dataFolder, os.DirFS(filepath.Join(filepath.Dir(goldenDisk), "disk-3"))); err != nil {
		t.Fatal(err)
	}
	before, _ := openWitness(t, dataFolder)
	from, err := adoptEarlierData(storage.OSDisk{}, dataFolder, []string{earlier})
	if from != "" || failure.CodeOf(err) != failure.Contradictory {
		t.Errorf("got data from %q, error %v, want none and code %s", from, err, failure.Contradictory)
	}
	if after, _ := openWitness(t, dataFolder); after.Replica().Identity != before.Replica().Identity {
		t.Errorf("got identity %s in the data folder, want %s", after.Replica().Identity, before.Replica().Identity)
	}
}

// TestMissingEarlierFolderIsIgnored checks a new controller, which has no data in any folder.
func TestMissingEarlierFolderIsIgnored(t *testing.T) {
	dataFolder := t.TempDir()
	from, err := adoptEarlierData(storage.OSDisk{}, dataFolder, []string{filepath.Join(dataFolder, "..", "expediter")})
	if from != "" || err != nil {
		t.Errorf("got data from %q, error %v, want none", from, err)
	}
}
