package fleet

import (
	"encoding/json"
	"os"
	"time"

	"seamloom.example/seamloom/internal/failure"
)

// NodeFaults is the content of a scripted node's faults file. The node reads the file before
// each operation of its disk and each reading of its wall clock.
type NodeFaults struct {
	// Disk is "", "slow", "stall", "full" or "damage".
	Disk string `json:"disk"`
	// Delay is the additional time that a slow disk takes for each operation.
	Delay time.Duration `json:"delay"`
	// Jump is added to the wall clock.
	Jump time.Duration `json:"jump"`
}

// ReadNodeFaults reads a faults file. A missing or malformed file is not an error; fields that can't be
// read keep their zero values, which mean no faults.
func ReadNodeFaults(path string) NodeFaults {
	var faults NodeFaults
	if text, err := os.ReadFile(path); err == nil {
		_ = json.Unmarshal(text, &faults)
	}
	return faults
}

// Write writes the faults to a file atomically.
func (n NodeFaults) Write(path string) error {
	text, err := json.Marshal(n)
	if err != nil {
		return failure.Wrap(failure.Malformed, err)
	}
	if err := os.WriteFile(path+".new", text, 0o644); err != nil {
		return failure.Wrap(failure.Disk, err)
	}
	return failure.Wrap(failure.Disk, os.Rename(path+".new", path))
}
