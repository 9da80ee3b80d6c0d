package storage

import "os"

// OSDisk is the machine's file system.
type OSDisk struct{}

// MakeDirectory makes a folder and its parents.
func (OSDisk) MakeDirectory(path string) error { return os.MkdirAll(path, 0o755) }

// WriteSynced writes a file and syncs it.
func (OSDisk) WriteSynced(path string, content []byte) error {
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
func (OSDisk) Rename(from, to string) error { return os.Rename(from, to) }

// SyncDirectory syncs a folder, so that a rename in it lasts.
func (OSDisk) SyncDirectory(path string) error {
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
func (OSDisk) List(path string) ([]string, error) {
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
func (OSDisk) Read(path string) ([]byte, error) { return os.ReadFile(path) }

// Remove deletes a file.
func (OSDisk) Remove(path string) error { return os.Remove(path) }
