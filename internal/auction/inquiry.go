package auction

import "time"

// Request is one caller's request for a streamed reply.
type Request struct {
	ID           string    `json:"id"`
	Service      string    `json:"service"`
	Client       string    `json:"origin,omitempty"`
	Idempotent   bool      `json:"repeatable"`
	Deadline     time.Time `json:"limit"`
	Prompt       string    `json:"prompt,omitempty"`
	PromptTokens int       `json:"prompt_tokens"`
	Prefix       string    `json:"prefix,omitempty"`
	PrefixTokens int       `json:"prefix_tokens,omitempty"`
	Chunks       int       `json:"pieces"`
}
