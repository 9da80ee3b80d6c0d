package controlplane

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/adapters/osruntime"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/features"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/runtime"
	"seamloom.example/seamloom/internal/wire"
)

// memoryStorage is a folder in memory that can be told to fail.
type memoryStorage struct {
	mutex   sync.Mutex
	files   map[string][]byte
	failing atomic.Bool
}

func (m *memoryStorage) Save(name string, content []byte) error {
	if m.failing.Load() {
		return failure.New(failure.Disk, "the disk fails")
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.files[name] = content
	return nil
}

func (m *memoryStorage) Load() (map[string][]byte, []string, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	files := map[string][]byte{}
	for name, content := range m.files {
		files[name] = content
	}
	return files, nil, nil
}

func (m *memoryStorage) Remove(names []string) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, name := range names {
		delete(m.files, name)
	}
	return nil
}

// core is three controllers in one process, joined by direct calls.
type core struct {
	mutex    sync.Mutex
	nodes    map[string]*Controller
	storages map[string]*memoryStorage
	// keeping are the storages of the keepers.
	keeping map[string]*memoryStorage
	// others are processes that are no controllers, by address.
	others map[string]wire.Handlers
	// dark is the address of a machine without power: a call to it hangs until the test is over.
	dark string
	over <-chan struct{}
	// observer is called for the log events of all controllers, if there is one.
	observer atomic.Pointer[func(event string, detail ...any)]
}

// observe passes a log event on to the observer.
func (c *core) observe(event string, detail ...any) {
	if observer := c.observer.Load(); observer != nil {
		(*observer)(event, detail...)
	}
}

// CallRaw answers at once.
func (c *core) CallRaw(address, path string, body []byte, _ time.Duration) ([]byte, error) {
	c.mutex.Lock()
	node := c.nodes[address]
	handlers, found := c.others[address]
	dark := c.dark != "" && c.dark == address
	c.mutex.Unlock()
	if dark {
		<-c.over
		return nil, failure.New(failure.Unreachable, address)
	}
	if found {
		return handlers.Handle(path, body)
	}
	if node == nil {
		return nil, failure.New(failure.Unreachable, address)
	}
	return node.Handlers().Handle(path, body)
}

// hookedRuntime has something done whenever the time is asked for.
type hookedRuntime struct {
	runtime.Runtime
	hook atomic.Pointer[func()]
}

func (rt *hookedRuntime) Now() time.Time {
	if act := rt.hook.Load(); act != nil {
		(*act)()
	}
	return rt.Runtime.Now()
}

// newCore forms a core and returns its primary.
func newCore(t *testing.T, wrap func(runtime.Runtime) runtime.Runtime) (*core, *Controller) {
	t.Helper()
	lifetime, end := context.WithCancel(context.Background())
	t.Cleanup(end)
	formed := &core{over: lifetime.Done(), nodes: map[string]*Controller{}, storages: map[string]*memoryStorage{}, keeping: map[string]*memoryStorage{}}
	rt := osruntime.New(lifetime, osruntime.NewClock())
	changed := rt.NewCond()
	for number := range 3 {
		address := "m" + strconv.Itoa(number)
		m, keeping := &memoryStorage{files: map[string][]byte{}}, &memoryStorage{files: map[string][]byte{}}
		options := Options{Name: address, Address: address, Seeds: []string{"m0", "m1", "m2"}, Supported: features.Supported(nil), Fresh: replication.Identity("disk-" + address)}
		node, _, err := Open(wrap(rt), formed, keeping, m, options, func(event string, detail ...any) {
			formed.observe(event, detail...)
			changed.Broadcast()
		})
		if err != nil {
			t.Fatal(err)
		}
		formed.mutex.Lock()
		formed.nodes[address], formed.storages[address] = node, m
		formed.keeping[address] = keeping
		formed.mutex.Unlock()
	}
	for _, node := range formed.nodes {
		for _, round := range node.Loops() {
			rt.Go(round)
		}
	}
	var primary *Controller
	for range 200 {
		// The bell rings with each step of the core; a pair makes it writable.
		changed.Wait(100*time.Millisecond, func() bool {
			for _, node := range formed.nodes {
				if _, _, err := node.Leading(); err == nil && !node.Coordinator().Membership().Backup.Empty() {
					primary = node
				}
			}
			return primary != nil
		})
		if primary != nil {
			return formed, primary
		}
	}
	t.Fatal("no core was formed")
	return nil, nil
}
