// Package pantry keeps files on a disk: one for each version, written aside,
// synced, renamed, and the folder synced.
package pantry

import (
	"encoding/binary"
	"hash/crc32"
	"os"
	"path/filepath"
	"strings"

	"seamloom.example/seamloom/internal/trouble"
)

// Folder is one folder under the data folder. Each file carries a checksum.
type Folder struct {
	path string
	disk Disk
}

const (
	asideSuffix = ".aside"
	magic       = "SLM1"
	headerSize  = len(magic) + 4
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// OpenFolder makes the folder if it is missing.
//
// Example:
//
//	shelf, failure := pantry.OpenFolder(pantry.RealDisk{}, "/var/lib/seamloom/larder")
func OpenFolder(disk Disk, path string) (*Folder, error) {
	if failure := disk.MakeFolder(path); failure != nil {
		return nil, trouble.Wrap(trouble.Disk, failure)
	}
	return &Folder{path: path, disk: disk}, nil
}

// Save writes a file aside, syncs it, renames it and syncs the folder.
//
// Example:
//
//	failure := folder.Save("version-1", content)
func (folder *Folder) Save(name string, content []byte) error {
	framed := make([]byte, headerSize, headerSize+len(content))
	copy(framed, magic)
	binary.BigEndian.PutUint32(framed[len(magic):], crc32.Checksum(content, castagnoli))
	framed = append(framed, content...)
	path := filepath.Join(folder.path, name)
	if failure := folder.disk.WriteSynced(path+asideSuffix, framed); failure != nil {
		return trouble.Wrap(trouble.Disk, failure)
	}
	if failure := folder.disk.Rename(path+asideSuffix, path); failure != nil {
		return trouble.Wrap(trouble.Disk, failure)
	}
	return trouble.Wrap(trouble.Disk, folder.disk.SyncFolder(folder.path))
}

// Load reads every file; those with a wrong checksum are named as damaged.
// What was written aside and never renamed is removed.
//
// Example:
//
//	files, damaged, failure := folder.Load()
func (folder *Folder) Load() (map[string][]byte, []string, error) {
	names, failure := folder.disk.List(folder.path)
	if failure != nil {
		return nil, nil, trouble.Wrap(trouble.Disk, failure)
	}
	files := map[string][]byte{}
	var damaged []string
	for _, name := range names {
		path := filepath.Join(folder.path, name)
		if strings.HasSuffix(name, asideSuffix) {
			_ = folder.disk.Remove(path)
			continue
		}
		framed, failure := folder.disk.Read(path)
		if failure != nil || len(framed) < headerSize || string(framed[:len(magic)]) != magic ||
			binary.BigEndian.Uint32(framed[len(magic):]) != crc32.Checksum(framed[headerSize:], castagnoli) {
			damaged = append(damaged, name)
			continue
		}
		files[name] = framed[headerSize:]
	}
	return files, damaged, nil
}

// Remove deletes files; one that is gone already is no failure.
//
// Example:
//
//	failure := folder.Remove([]string{"version-1"})
func (folder *Folder) Remove(names []string) error {
	for _, name := range names {
		if failure := folder.disk.Remove(filepath.Join(folder.path, name)); failure != nil && !os.IsNotExist(failure) {
			return trouble.Wrap(trouble.Disk, failure)
		}
	}
	return nil
}
