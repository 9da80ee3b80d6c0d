package hatch

import (
	"time"

	"seamloom.example/seamloom/internal/recipe"
)

// ClaimQuestion takes an inquiry id before its dispatch.
type ClaimQuestion struct {
	Made  time.Time    `msgpack:"made"`
	Entry recipe.Entry `msgpack:"entry"`
}
