package storage

import "os"

// RealDisk is the machine's file system.
type RealDisk struct{}

// MakeFolder makes a folder and its parents.
func (RealDisk) MakeFolder(path string) error { return os.MkdirAll(path, 0o755) }

// WriteSynced writes a file and syncs it.
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
func (RealDisk) Rename(from, to string) error { return os.Rename(from, to) }

// SyncFolder syncs a folder, so that a rename in it lasts.
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
func (RealDisk) Read(path string) ([]byte, error) { return os.ReadFile(path) }

// Remove deletes a file.
func (RealDisk) Remove(path string) error { return os.Remove(path) }
