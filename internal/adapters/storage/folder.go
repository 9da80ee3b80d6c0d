// Package storage keeps files on a disk: one for each version, written aside,
// synced, renamed, and the folder synced.
package storage

import (
	"encoding/binary"
	"hash/crc32"
	"os"
	"path/filepath"
	"strings"

	"seamloom.example/seamloom/internal/failure"
)

// Directory is one folder under the data folder. Each file carries a checksum.
type Directory struct {
	path string
	disk Disk
}

const (
	temporarySuffix = ".aside"
	magic           = "SLM1"
	headerSize      = len(magic) + 4
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// OpenDirectory makes the folder if it is missing.
func OpenDirectory(disk Disk, path string) (*Directory, error) {
	if err := disk.MakeDirectory(path); err != nil {
		return nil, failure.Wrap(failure.Disk, err)
	}
	return &Directory{path: path, disk: disk}, nil
}

// Save writes a file aside, syncs it, renames it and syncs the folder.
func (f *Directory) Save(name string, content []byte) error {
	framed := make([]byte, headerSize, headerSize+len(content))
	copy(framed, magic)
	binary.BigEndian.PutUint32(framed[len(magic):], crc32.Checksum(content, castagnoli))
	framed = append(framed, content...)
	path := filepath.Join(f.path, name)
	if err := f.disk.WriteSynced(path+temporarySuffix, framed); err != nil {
		return failure.Wrap(failure.Disk, err)
	}
	if err := f.disk.Rename(path+temporarySuffix, path); err != nil {
		return failure.Wrap(failure.Disk, err)
	}
	return failure.Wrap(failure.Disk, f.disk.SyncDirectory(f.path))
}

// Load reads every file; those with a wrong checksum are named as damaged.
// What was written aside and never renamed is removed.
func (f *Directory) Load() (map[string][]byte, []string, error) {
	names, err := f.disk.List(f.path)
	if err != nil {
		return nil, nil, failure.Wrap(failure.Disk, err)
	}
	files := map[string][]byte{}
	var damaged []string
	for _, name := range names {
		path := filepath.Join(f.path, name)
		if strings.HasSuffix(name, temporarySuffix) {
			_ = f.disk.Remove(path)
			continue
		}
		framed, err := f.disk.Read(path)
		if err != nil || len(framed) < headerSize || string(framed[:len(magic)]) != magic ||
			binary.BigEndian.Uint32(framed[len(magic):]) != crc32.Checksum(framed[headerSize:], castagnoli) {
			damaged = append(damaged, name)
			continue
		}
		files[name] = framed[headerSize:]
	}
	return files, damaged, nil
}

// Remove deletes files; one that is gone already is no failure.
func (f *Directory) Remove(names []string) error {
	for _, name := range names {
		if err := f.disk.Remove(filepath.Join(f.path, name)); err != nil && !os.IsNotExist(err) {
			return failure.Wrap(failure.Disk, err)
		}
	}
	return nil
}
