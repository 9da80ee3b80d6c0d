package config

import "seamloom.example/seamloom/internal/failure"

// Remark is one thing that a tasting found: an error, which the fleet would
// refuse, or a warning, which it would take.
type Remark struct {
	Level string `json:"level"`
	failure.Error
}

// The levels of a remark.
const (
	ErrorLevel   = "error"
	WarningLevel = "warning"
)
