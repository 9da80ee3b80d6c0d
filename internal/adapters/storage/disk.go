package storage

import "os"

// Disk is the port to the file system; tests put a faulty one there that forgets what was
// not synced, stalls, fills up or returns damaged content. Its errors carry no codes.
type Disk interface {
	MakeDirectory(path string) error
	// WriteSynced returns only when the content is on the disk.
	WriteSynced(path string, content []byte) error
	Rename(from, to string) error
	// SyncDirectory returns only when the names in the directory are on the disk.
	SyncDirectory(path string) error
	// List names the files of a directory, without its subdirectories.
	List(path string) ([]string, error)
	Read(path string) ([]byte, error)
	Remove(path string) error
}

// OSDisk is the machine's file system.
type OSDisk struct{}

// The modes of what is stored: configurations hold the keys of tenants, which nobody else may read.
const (
	directoryMode = 0o700
	fileMode      = 0o600
)

// MakeDirectory makes a directory and its parents.
func (OSDisk) MakeDirectory(path string) error { return os.MkdirAll(path, directoryMode) }

// WriteSynced writes a file and syncs it.
func (OSDisk) WriteSynced(path string, content []byte) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
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

// SyncDirectory syncs a directory, so that a rename in it lasts.
func (OSDisk) SyncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return err
	}
	if err := directory.Sync(); err != nil {
		_ = directory.Close()
		return err
	}
	return directory.Close()
}

// List names the files of a directory.
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
