package menu

import "time"

// Service is one kind of streamed inquiry that operators offer.
type Service struct {
	Name            string
	Limit           time.Duration
	MaxPromptTokens int
	MaxPieces       int
	InFlight        int
	Tries           int
}

// The bounds and defaults of a service. The values are ours.
const (
	DefaultLimit           = 30 * time.Second
	LongestLimit           = 10 * time.Minute
	DefaultMaxPromptTokens = 32_000
	DefaultMaxPieces       = 512
	DefaultInFlight        = 128
	DefaultTries           = 3
)
