package fleet

import (
	"os"
	"path/filepath"
	"testing"

	"seamloom.example/seamloom/internal/adapters/storage"
	"seamloom.example/seamloom/internal/failure"
)

// TestFaultyDiskLosesUnsyncedRenames saves one file and renames another without a sync of
// the folder. After a power loss the saved file must be there and the renamed one gone, so
// that tests detect a program that forgets to sync.
func TestFaultyDiskLosesUnsyncedRenames(t *testing.T) {
	path := filepath.Join(t.TempDir(), "larder")
	noFaults := func() NodeFaults { return NodeFaults{} }
	disk := NewFaultyDisk(noFaults)
	folder, err := storage.OpenDirectory(disk, path)
	if err != nil {
		t.Fatal(err)
	}
	if err := folder.Save("version-1", []byte("one")); err != nil {
		t.Fatal(err)
	}
	if err := disk.WriteSynced(filepath.Join(path, "version-2.aside"), []byte("two")); err != nil {
		t.Fatal(err)
	}
	if err := disk.Rename(filepath.Join(path, "version-2.aside"), filepath.Join(path, "version-2")); err != nil {
		t.Fatal(err)
	}
	if names, _ := disk.List(path); len(names) != 2 {
		t.Errorf("before the power loss the process sees %v, want 2 files", names)
	}
	after, err := storage.OpenDirectory(NewFaultyDisk(noFaults), path)
	if err != nil {
		t.Fatal(err)
	}
	files, damaged, err := after.Load()
	if err != nil || len(damaged) != 0 || len(files) != 1 || string(files["version-1"]) != "one" {
		t.Errorf("after the power loss: got files %v, damaged %v, error %v, want only version-1", files, damaged, err)
	}
}

// TestLoadNamesDamagedFilesAndSaveFailsOnAFullDisk checks that Load names a truncated and an altered file
// as damaged, and that a save on a full disk fails.
func TestLoadNamesDamagedFilesAndSaveFailsOnAFullDisk(t *testing.T) {
	path := filepath.Join(t.TempDir(), "larder")
	folder, err := storage.OpenDirectory(storage.OSDisk{}, path)
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"whole", "short", "altered"} {
		if err := folder.Save(name, []byte("content of "+name)); err != nil {
			t.Fatal(err)
		}
	}
	altered, err := os.ReadFile(filepath.Join(path, "altered"))
	if err != nil {
		t.Fatal(err)
	}
	altered[len(altered)-1]++
	if err := os.WriteFile(filepath.Join(path, "altered"), altered, 0o644); err != nil {
		t.Fatal(err)
	}
	if err := os.Truncate(filepath.Join(path, "short"), 6); err != nil {
		t.Fatal(err)
	}
	files, damaged, err := folder.Load()
	if err != nil || len(files) != 1 || string(files["whole"]) != "content of whole" || len(damaged) != 2 {
		t.Errorf("got files %v, damaged %v, error %v, want only the undamaged file and 2 damaged ones", files, damaged, err)
	}
	full, err := storage.OpenDirectory(NewFaultyDisk(func() NodeFaults { return NodeFaults{Disk: "full"} }), path)
	if err != nil {
		t.Fatal(err)
	}
	if err := full.Save("more", []byte("more")); failure.CodeOf(err) != failure.Disk {
		t.Errorf("a save on a full disk: got error %v, want the code %v", err, failure.Disk)
	}
}
