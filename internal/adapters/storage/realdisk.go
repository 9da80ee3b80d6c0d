package storage

import "os"

// RealDisk is the machine's file system.
type RealDisk struct{}

// MakeFolder makes a folder and its parents.
//
// Example:
//
//	failure := storage.RealDisk{}.MakeFolder("/var/lib/seamloom")
func (RealDisk) MakeFolder(path string) error { return os.MkdirAll(path, 0o755) }

// WriteSynced writes a file and syncs it.
//
// Example:
//
//	failure := storage.RealDisk{}.WriteSynced("/var/lib/seamloom/note", content)
func (RealDisk) WriteSynced(path string, content []byte) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o644)
	if err != nil {
		return err
	}
	if _, err := file.Write(content); err != nil {
		_ = file.Close()
		return err
	}
	if err := file.Sync(); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

// Rename gives a file its name.
//
// Example:
//
//	failure := storage.RealDisk{}.Rename("note.aside", "note")
func (RealDisk) Rename(from, to string) error { return os.Rename(from, to) }

// SyncFolder syncs a folder, so that a rename in it lasts.
//
// Example:
//
//	failure := storage.RealDisk{}.SyncFolder("/var/lib/seamloom")
func (RealDisk) SyncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	if err := folder.Sync(); err != nil {
		_ = folder.Close()
		return err
	}
	return folder.Close()
}

// List names the files of a folder.
//
// Example:
//
//	names, failure := storage.RealDisk{}.List("/var/lib/seamloom")
func (RealDisk) List(path string) ([]string, error) {
	entries, err := os.ReadDir(path)
	var names []string
	for _, entry := range entries {
		if !entry.IsDir() {
			names = append(names, entry.Name())
		}
	}
	return names, err
}

// Read reads a whole file.
//
// Example:
//
//	content, failure := storage.RealDisk{}.Read("note")
func (RealDisk) Read(path string) ([]byte, error) { return os.ReadFile(path) }

// Remove deletes a file.
//
// Example:
//
//	failure := storage.RealDisk{}.Remove("note")
func (RealDisk) Remove(path string) error { return os.Remove(path) }
