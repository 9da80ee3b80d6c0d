package rehearsal

import (
	"os"
	"path/filepath"
	"testing"

	"seamloom.example/seamloom/internal/adapters/pantry"
	"seamloom.example/seamloom/internal/trouble"
)

// TestDiskForgetsWhatWasNotSynced saves through a faulty disk, loses power, and
// wants what was saved to be there; then it renames without a sync and wants
// that to be gone, so that a program that forgot one would be seen.
func TestDiskForgetsWhatWasNotSynced(test *testing.T) {
	path := filepath.Join(test.TempDir(), "larder")
	well := func() NodeFaults { return NodeFaults{} }
	disk := NewFaultyDisk(well)
	folder, failure := pantry.OpenFolder(disk, path)
	if failure != nil {
		test.Fatal(failure)
	}
	if failure := folder.Save("version-1", []byte("one")); failure != nil {
		test.Fatal(failure)
	}
	if failure := disk.WriteSynced(filepath.Join(path, "version-2.aside"), []byte("two")); failure != nil {
		test.Fatal(failure)
	}
	if failure := disk.Rename(filepath.Join(path, "version-2.aside"), filepath.Join(path, "version-2")); failure != nil {
		test.Fatal(failure)
	}
	if names, _ := disk.List(path); len(names) != 2 {
		test.Errorf("before the power loss the process sees %v", names)
	}
	after, failure := pantry.OpenFolder(NewFaultyDisk(well), path)
	if failure != nil {
		test.Fatal(failure)
	}
	files, damaged, failure := after.Load()
	if failure != nil || len(damaged) != 0 || len(files) != 1 || string(files["version-1"]) != "one" {
		test.Errorf("after the power loss: %v, damaged %v, %v", files, damaged, failure)
	}
}

// TestDamageIsNamedAndAFullDiskRefuses truncates and alters files.
func TestDamageIsNamedAndAFullDiskRefuses(test *testing.T) {
	path := filepath.Join(test.TempDir(), "larder")
	folder, failure := pantry.OpenFolder(pantry.RealDisk{}, path)
	if failure != nil {
		test.Fatal(failure)
	}
	for _, name := range []string{"whole", "short", "altered"} {
		if failure := folder.Save(name, []byte("content of "+name)); failure != nil {
			test.Fatal(failure)
		}
	}
	altered, failure := os.ReadFile(filepath.Join(path, "altered"))
	if failure != nil {
		test.Fatal(failure)
	}
	altered[len(altered)-1]++
	if failure := os.WriteFile(filepath.Join(path, "altered"), altered, 0o644); failure != nil {
		test.Fatal(failure)
	}
	if failure := os.Truncate(filepath.Join(path, "short"), 6); failure != nil {
		test.Fatal(failure)
	}
	files, damaged, failure := folder.Load()
	if failure != nil || len(files) != 1 || string(files["whole"]) != "content of whole" || len(damaged) != 2 {
		test.Errorf("%v, damaged %v, %v", files, damaged, failure)
	}
	full, failure := pantry.OpenFolder(NewFaultyDisk(func() NodeFaults { return NodeFaults{Disk: "full"} }), path)
	if failure != nil {
		test.Fatal(failure)
	}
	if failure := full.Save("more", []byte("more")); trouble.KindOf(failure) != trouble.Disk {
		test.Errorf("a full disk took a file: %v", failure)
	}
}
