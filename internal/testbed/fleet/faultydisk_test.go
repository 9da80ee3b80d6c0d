package fleet

import (
	"os"
	"path/filepath"
	"testing"

	"seamloom.example/seamloom/internal/adapters/storage"
	"seamloom.example/seamloom/internal/failure"
)

// TestDiskForgetsWhatWasNotSynced saves through a faulty disk, loses power, and
// wants what was saved to be there; then it renames without a sync and wants
// that to be gone, so that a program that forgot one would be seen.
func TestDiskForgetsWhatWasNotSynced(t *testing.T) {
	path := filepath.Join(t.TempDir(), "larder")
	well := func() NodeFaults { return NodeFaults{} }
	disk := NewFaultyDisk(well)
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
		t.Errorf("before the power loss the process sees %v", names)
	}
	after, err := storage.OpenDirectory(NewFaultyDisk(well), path)
	if err != nil {
		t.Fatal(err)
	}
	files, damaged, err := after.Load()
	if err != nil || len(damaged) != 0 || len(files) != 1 || string(files["version-1"]) != "one" {
		t.Errorf("after the power loss: %v, damaged %v, %v", files, damaged, err)
	}
}

// TestDamageIsNamedAndAFullDiskRefuses truncates and alters files.
func TestDamageIsNamedAndAFullDiskRefuses(t *testing.T) {
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
		t.Errorf("%v, damaged %v, %v", files, damaged, err)
	}
	full, err := storage.OpenDirectory(NewFaultyDisk(func() NodeFaults { return NodeFaults{Disk: "full"} }), path)
	if err != nil {
		t.Fatal(err)
	}
	if err := full.Save("more", []byte("more")); failure.CodeOf(err) != failure.Disk {
		t.Errorf("a full disk took a file: %v", err)
	}
}
