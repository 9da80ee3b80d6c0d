package hatch

import (
	"time"

	"seamloom.example/seamloom/internal/larder"
	"seamloom.example/seamloom/internal/recipe"
)

// ExpediterOptions say which expediter a core is.
type ExpediterOptions struct {
	Name      string
	Address   string
	District  string
	Seeds     []string
	Supported recipe.List
	// FlagSettle is how long the members must not change before a flag is
	// enabled.
	FlagSettle time.Duration
	// BorneLosses is how many disks may be lost at once; one when it is zero.
	BorneLosses int
	// Fresh is the identity that a blank disk takes.
	Fresh larder.Identity
}
