package storage

// Disk is the port in front of the file system; tests put a faulty one
// there that forgets what was not synced, stalls, fills or returns damage.
type Disk interface {
	MakeDirectory(path string) error
	WriteSynced(path string, content []byte) error
	Rename(from, to string) error
	SyncDirectory(path string) error
	List(path string) ([]string, error)
	Read(path string) ([]byte, error)
	Remove(path string) error
}
