package hatch

import (
	"seamloom.example/seamloom"
	"seamloom.example/seamloom/internal/pass"
)

// CourierOptions say which courier a core is.
type CourierOptions struct {
	seamloom.Options
	Address string
	Seeds   []string
	// Nonce gives a text that is new each time.
	Nonce func() string
	// Ended is told how each inquiry ended that this courier decided on.
	Ended func(inquiry *pass.Inquiry, decision pass.Decision)
}
