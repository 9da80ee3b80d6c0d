package storage

import "os"

// Disk is the interface to the file system. Tests implement it with a simulated disk that loses
// unsynced content, stalls, is full or returns corrupted content. The errors of its methods have no
// failure code.
type Disk interface {
	MakeDirectory(path string) error
	// WriteSynced writes a file and returns once its content is on the disk.
	WriteSynced(path string, content []byte) error
	Rename(from, to string) error
	// SyncDirectory returns once the directory's entries are on the disk, so that they survive a
	// power failure.
	SyncDirectory(path string) error
	// List returns the names of a directory's files, without its subdirectories.
	List(path string) ([]string, error)
	Read(path string) ([]byte, error)
	Remove(path string) error
}

// OSDisk implements Disk with the machine's file system.
type OSDisk struct{}

// The permissions of stored directories and files. Configurations contain the keys of tenants, which
// other users of the machine must not be able to read.
const (
	directoryMode = 0o700
	fileMode      = 0o600
)

// MakeDirectory creates a directory and its missing parents.
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

// Rename renames a file or directory.
func (OSDisk) Rename(from, to string) error { return os.Rename(from, to) }

// SyncDirectory syncs a directory, so that new and renamed files in it survive a power failure.
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

// List returns the names of a directory's files.
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
