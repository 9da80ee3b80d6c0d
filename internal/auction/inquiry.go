package auction

import "time"

// Inquiry is one caller's request for a streamed reply.
type Inquiry struct {
	ID           string    `json:"id"`
	Service      string    `json:"service"`
	Origin       string    `json:"origin,omitempty"`
	Repeatable   bool      `json:"repeatable"`
	Limit        time.Time `json:"limit"`
	Prompt       string    `json:"prompt,omitempty"`
	PromptTokens int       `json:"prompt_tokens"`
	Prefix       string    `json:"prefix,omitempty"`
	PrefixTokens int       `json:"prefix_tokens,omitempty"`
	Pieces       int       `json:"pieces"`
}
