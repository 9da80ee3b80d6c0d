package replication

// Storage is the port to one folder of a disk. Save returns only when the file
// is synced under its name; files are never changed in place.
type Storage interface {
	// Save writes a file aside, syncs it, renames it and syncs the folder.
	Save(name string, content []byte) error
	// Load reads every file; damaged names those whose checksum is wrong.
	Load() (files map[string][]byte, damaged []string, failure error)
	// Remove deletes files that newer ones have replaced.
	Remove(names []string) error
}
