package storage

import (
	"os"
	"path/filepath"
	"testing"
)

// TestStoredFilesAreReadByTheirOwnerOnly guards against keys of tenants that any user of the machine can read.
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
			t.Errorf("%s: %v, %v", name, info.Mode(), err)
		}
	}
}

// TestDirectoryTellsDamagedFilesFromSound saves files on the machine's disk, damages one,
// and leaves one under its temporary name, as a loss of power may.
func TestDirectoryTellsDamagedFilesFromSound(t *testing.T) {
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
		t.Errorf("sound files: %q", files)
	}
	if len(damaged) != 2 || damaged[0] != "flipped" || damaged[1] != "short" {
		t.Errorf("damaged files: %v", damaged)
	}
	if _, err := os.Stat(filepath.Join(path, "torn"+temporarySuffix)); !os.IsNotExist(err) {
		t.Errorf("the temporary file is left: %v", err)
	}
	if err := directory.Remove([]string{"sound", "never there"}); err != nil {
		t.Error(err)
	}
}
