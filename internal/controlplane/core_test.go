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

// memoryStorage is a storage in memory. Save fails while failing is set.
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

// core is a core of three controllers in one process, connected by direct calls.
type core struct {
	mutex sync.Mutex
	nodes map[string]*Controller
	// copyStorages holds the storages of the replicas, and witnessStorage those of the witnesses, by
	// address.
	copyStorages   map[string]*memoryStorage
	witnessStorage map[string]*memoryStorage
	// otherProcesses are processes that are not controllers, by address.
	otherProcesses map[string]wire.Handlers
	// unreachable is the address of a machine without power: a call to it hangs until the test ends.
	unreachable string
	testEnded   <-chan struct{}
	// observer, if not nil, is called for the log events of all controllers.
	observer atomic.Pointer[func(event string, detail ...any)]
}

// observe passes a log event on to the observer.
func (c *core) observe(event string, detail ...any) {
	if observer := c.observer.Load(); observer != nil {
		(*observer)(event, detail...)
	}
}

// CallRaw calls the handler of the process at the address directly.
func (c *core) CallRaw(address, path string, body []byte, _ time.Duration) ([]byte, error) {
	c.mutex.Lock()
	node := c.nodes[address]
	handlers, found := c.otherProcesses[address]
	unreachable := c.unreachable != "" && c.unreachable == address
	c.mutex.Unlock()
	if unreachable {
		<-c.testEnded
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

// hookedRuntime calls a hook whenever the time is read.
type hookedRuntime struct {
	runtime.Runtime
	hook atomic.Pointer[func()]
}

func (rt *hookedRuntime) Now() time.Time {
	if callback := rt.hook.Load(); callback != nil {
		(*callback)()
	}
	return rt.Runtime.Now()
}

// newCore forms a core of three controllers and returns it with its primary. Each controller runs on the
// runtime that wrap returns.
func newCore(t *testing.T, wrap func(runtime.Runtime) runtime.Runtime) (*core, *Controller) {
	t.Helper()
	lifetime, end := context.WithCancel(context.Background())
	t.Cleanup(end)
	formed := &core{
		testEnded:      lifetime.Done(),
		nodes:          map[string]*Controller{},
		copyStorages:   map[string]*memoryStorage{},
		witnessStorage: map[string]*memoryStorage{},
	}
	rt := osruntime.New(lifetime, osruntime.NewClock())
	changed := rt.NewCond()
	for number := range 3 {
		address := "m" + strconv.Itoa(number)
		copyStorage, witnessStorage := &memoryStorage{files: map[string][]byte{}}, &memoryStorage{files: map[string][]byte{}}
		options := Options{
			Name:        address,
			Address:     address,
			Seeds:       []string{"m0", "m1", "m2"},
			Supported:   features.Supported(nil),
			NewIdentity: replication.Identity("disk-" + address),
		}
		node, _, err := Open(wrap(rt), formed, witnessStorage, copyStorage, options, func(event string, detail ...any) {
			formed.observe(event, detail...)
			changed.Broadcast()
		})
		if err != nil {
			t.Fatal(err)
		}
		formed.mutex.Lock()
		formed.nodes[address], formed.copyStorages[address] = node, copyStorage
		formed.witnessStorage[address] = witnessStorage
		formed.mutex.Unlock()
	}
	for _, node := range formed.nodes {
		for _, loop := range node.Loops() {
			rt.Go(loop)
		}
	}
	var primary *Controller
	for range 200 {
		// Each log event of a controller wakes this wait. The core accepts writes once it has a backup.
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
	t.Fatal("the core has no primary with a backup")
	return nil, nil
}
