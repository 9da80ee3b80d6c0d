// Package storage implements replication.Storage with files in a directory on the machine's
// disk. A file is written under a temporary name, synced and renamed, and the directory is
// synced, so that after a power failure the file has either its complete new content or its
// previous content, or is absent if it is new. Each file contains a checksum of its content, by
// which corruption is detected.
package storage

import (
	"encoding/binary"
	"hash/crc32"
	"os"
	"path/filepath"
	"strings"

	"seamloom.example/seamloom/internal/failure"
)

// Directory stores files in one directory of the data folder. A file consists of the magic
// number, the CRC-32C of the content (4 bytes, big endian) and the content.
type Directory struct {
	path string
	disk Disk
}

const (
	// temporarySuffix marks files that are being written.
	temporarySuffix = ".aside"
	// magic is the magic number at the start of each file.
	magic      = "SLM1"
	headerSize = len(magic) + 4
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// OpenDirectory opens a directory and creates it if it is missing. An error has the code Disk.
func OpenDirectory(disk Disk, path string) (*Directory, error) {
	if err := disk.MakeDirectory(path); err != nil {
		return nil, failure.Wrap(failure.Disk, err)
	}
	return &Directory{path: path, disk: disk}, nil
}

// Save writes a file under a temporary name, syncs it, renames it and syncs the directory.
// Once Save has returned nil, the file survives a power failure. After an error, which has the
// code Disk, the file has either the complete new content or its previous state.
func (d *Directory) Save(name string, content []byte) error {
	path := filepath.Join(d.path, name)
	if err := d.disk.WriteSynced(path+temporarySuffix, frame(content)); err != nil {
		return failure.Wrap(failure.Disk, err)
	}
	if err := d.disk.Rename(path+temporarySuffix, path); err != nil {
		return failure.Wrap(failure.Disk, err)
	}
	return failure.Wrap(failure.Disk, d.disk.SyncDirectory(d.path))
}

// Load returns the contents of all files by name, and the names of the damaged files: those that cannot be
// read, or have an invalid header or a wrong checksum. It removes files with a temporary name, because the Save
// that wrote such a file was interrupted. An error has the code Disk.
func (d *Directory) Load() (map[string][]byte, []string, error) {
	files, damaged, err := ReadFiles(d.disk, d.path)
	if err != nil {
		return nil, nil, err
	}
	names, err := d.disk.List(d.path)
	if err != nil {
		return nil, nil, failure.Wrap(failure.Disk, err)
	}
	for _, name := range names {
		if strings.HasSuffix(name, temporarySuffix) {
			_ = d.disk.Remove(filepath.Join(d.path, name))
		}
	}
	return files, damaged, nil
}

// ReadFiles returns the same as Directory.Load for the directory at path, but changes nothing on the disk. An
// error has the code Disk.
func ReadFiles(disk Disk, path string) (map[string][]byte, []string, error) {
	names, err := disk.List(path)
	if err != nil {
		return nil, nil, failure.Wrap(failure.Disk, err)
	}
	files := map[string][]byte{}
	var damaged []string
	for _, name := range names {
		if strings.HasSuffix(name, temporarySuffix) {
			continue
		}
		framed, err := disk.Read(filepath.Join(path, name))
		content, intact := unframe(framed)
		if err != nil || !intact {
			damaged = append(damaged, name)
			continue
		}
		files[name] = content
	}
	return files, damaged, nil
}

// Remove deletes files; a file that does not exist is not an error. The directory is not synced,
// so the files may reappear after a power failure. Remove stops at the first error, which has the code Disk.
func (d *Directory) Remove(names []string) error {
	for _, name := range names {
		if err := d.disk.Remove(filepath.Join(d.path, name)); err != nil && !os.IsNotExist(err) {
			return failure.Wrap(failure.Disk, err)
		}
	}
	return nil
}

// frame returns the content preceded by its header.
func frame(content []byte) []byte {
	framed := make([]byte, headerSize, headerSize+len(content))
	copy(framed, magic)
	binary.BigEndian.PutUint32(framed[len(magic):], crc32.Checksum(content, castagnoli))
	return append(framed, content...)
}

// unframe returns the content without its header, and reports whether the magic number and the checksum are
// valid.
func unframe(framed []byte) ([]byte, bool) {
	if len(framed) < headerSize || string(framed[:len(magic)]) != magic {
		return nil, false
	}
	content := framed[headerSize:]
	return content, binary.BigEndian.Uint32(framed[len(magic):]) == crc32.Checksum(content, castagnoli)
}
