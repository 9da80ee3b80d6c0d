package wire

import (
	"time"

	"seamloom.example/seamloom/internal/outlier"
	"seamloom.example/seamloom/internal/scheduler"
)

// LoadsUpdate are the servers' reports as the primary read them last. Its mark tells
// one round of reading from another.
type LoadsUpdate struct {
	Revision uint64       `msgpack:"mark"`
	Reports  []LoadReport `msgpack:"lines"`
	// Outliers are the servers that are better left alone, by what all nodes met there.
	Outliers outlier.Advice `msgpack:"outliers,omitempty"`
}

// LoadReport is one server's report, as short as it can be: three times a second it
// goes to every router.
type LoadReport struct {
	//lint:ignore U1000 The encoder reads the tag.
	_msgpack struct{} `msgpack:",as_array"`

	Server      string
	Part        string
	Changing    bool
	Orders      uint
	Waiting     int
	Running     int
	MemoryUsed  int
	MemoryTotal int
	Handles     int
	// Age is in milliseconds.
	Age int
}

func NewLoadReport(load scheduler.Load, age time.Duration) LoadReport {
	return LoadReport{Server: load.Server, Part: load.Role, Changing: load.ChangingRole, Orders: uint(load.Orders), Waiting: load.Waiting, Running: load.Running,
		MemoryUsed: load.MemoryUsed, MemoryTotal: load.MemoryTotal, Handles: load.Handles, Age: int((load.Age + age).Milliseconds())}
}

func (l LoadReport) Load(age time.Duration) scheduler.Load {
	return scheduler.Load{Server: l.Server, Role: l.Part, ChangingRole: l.Changing, Orders: uint64(l.Orders), Waiting: l.Waiting, Running: l.Running,
		MemoryUsed: l.MemoryUsed, MemoryTotal: l.MemoryTotal, Handles: l.Handles, Age: time.Duration(l.Age)*time.Millisecond + age}
}
