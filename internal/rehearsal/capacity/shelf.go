package capacity

import (
	"sync"
	"sync/atomic"
)

// shelf is a folder in memory that counts what is written to it.
type shelf struct {
	mutex sync.Mutex
	files map[string][]byte
	saved atomic.Int64
	saves atomic.Int64
}

func newShelf() *shelf { return &shelf{files: map[string][]byte{}} }

// Save keeps a file.
func (shelf *shelf) Save(name string, content []byte) error {
	shelf.saved.Add(int64(len(content)))
	shelf.saves.Add(1)
	shelf.mutex.Lock()
	defer shelf.mutex.Unlock()
	shelf.files[name] = content
	return nil
}

// Load gives every file.
func (shelf *shelf) Load() (map[string][]byte, []string, error) {
	shelf.mutex.Lock()
	defer shelf.mutex.Unlock()
	files := make(map[string][]byte, len(shelf.files))
	for name, content := range shelf.files {
		files[name] = content
	}
	return files, nil, nil
}

// Remove forgets files.
func (shelf *shelf) Remove(names []string) error {
	shelf.mutex.Lock()
	defer shelf.mutex.Unlock()
	for _, name := range names {
		delete(shelf.files, name)
	}
	return nil
}
