package fleet

import (
	"encoding/json"
	"os"
	"time"

	"seamloom.example/seamloom/internal/failure"
)

// NodeFaults is what a staged node reads from its faults file before each act
// of its disk and each look at its wall clock.
type NodeFaults struct {
	// Disk is "", "slow", "stall", "full" or "damage".
	Disk string `json:"disk"`
	// Delay is how much longer a slow disk takes for each act.
	Delay time.Duration `json:"delay"`
	// Jump is added to the wall clock.
	Jump time.Duration `json:"jump"`
}

// ReadNodeFaults reads a faults file; a missing one has no faults.
func ReadNodeFaults(path string) NodeFaults {
	var faults NodeFaults
	if text, err := os.ReadFile(path); err == nil {
		_ = json.Unmarshal(text, &faults)
	}
	return faults
}

// Write puts the faults into a file, whole at once.
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
