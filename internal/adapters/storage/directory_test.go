package storage

import (
	"os"
	"path/filepath"
	"testing"
)

// TestStoredFilesAreReadByTheirOwnerOnly guards against permissions that let other users of the machine read
// the keys of tenants, which stored configurations contain.
func TestStoredFilesAreReadByTheirOwnerOnly(t *testing.T) {
	path := filepath.Join(t.TempDir(), "data")
	directory, err := OpenDirectory(OSDisk{}, path)
	if err != nil {
		t.Fatal(err)
	}
	if err := directory.Save("menu", []byte("key")); err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string]os.FileMode{path: 0o700, filepath.Join(path, "menu"): 0o600} {
		if info, err := os.Stat(name); err != nil || info.Mode().Perm() != want {
			t.Errorf("%s: got mode %v, error %v, want mode %v", name, info.Mode(), err, want)
		}
	}
}

// TestLoadReportsDamagedFiles saves files on the machine's disk, damages two of them, and leaves a file with
// a temporary name, as an interrupted Save does.
func TestLoadReportsDamagedFiles(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	directory, err := OpenDirectory(OSDisk{}, path)
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"empty", "flipped", "short", "sound"} {
		content := []byte(name)
		if name == "empty" {
			content = nil
		}
		if err := directory.Save(name, content); err != nil {
			t.Fatal(err)
		}
	}
	write := func(name string, content []byte) {
		t.Helper()
		if err := os.WriteFile(filepath.Join(path, name), content, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	flipped := frame([]byte("flipped"))
	flipped[len(flipped)-1] ^= 1
	write("flipped", flipped)
	write("short", []byte(magic))
	write("torn"+temporarySuffix, frame([]byte("torn")))

	files, damaged, err := directory.Load()
	if err != nil {
		t.Fatal(err)
	}
	if len(files) != 2 || string(files["sound"]) != "sound" || len(files["empty"]) != 0 {
		t.Errorf("got intact files %q, want the files \"sound\" and \"empty\" with their contents", files)
	}
	if len(damaged) != 2 || damaged[0] != "flipped" || damaged[1] != "short" {
		t.Errorf("got damaged files %v, want \"flipped\" and \"short\"", damaged)
	}
	if _, err := os.Stat(filepath.Join(path, "torn"+temporarySuffix)); !os.IsNotExist(err) {
		t.Errorf("the file with the temporary name was not removed: got error %v", err)
	}
	if err := directory.Remove([]string{"sound", "never there"}); err != nil {
		t.Error(err)
	}
}
