// Package scheduler follows calls: requests whose method, path and body are the
// origin's and are forwarded to model servers unchanged. It decides where a prompt
// is read and where its answer is made, what is tried again and what is refused. It
// does no input or output and reads no clock.
package scheduler

import "time"

// Call is one opaque request as it arrived at a router.
type Call struct {
	// ID is the origin's, used once.
	ID string `json:"id"`
	// Host and Path find the route.
	Host string `json:"host"`
	Path string `json:"path"`
	// Model names the weights wanted.
	Model string `json:"model,omitempty"`
	// Segments is the prompt's chain, in order; the last part is the call's own.
	Segments []Segment `json:"parts,omitempty"`
	// PromptTokens and OutputTokens are the origin's own figures.
	PromptTokens int `json:"prompt_tokens,omitempty"`
	OutputTokens int `json:"output_tokens,omitempty"`
	// Bytes is the size of the body.
	Bytes int `json:"bytes,omitempty"`
	// Deadline is the origin's limit; the route's may be sooner.
	Deadline time.Time `json:"ends,omitzero"`
	// Resumes tells that the origin goes on behind an event of an earlier stream.
	Resumes bool `json:"resumes,omitempty"`
}

// Role is one part of a prompt's chain, shared with other prompts or the call's own.
type Segment struct {
	ID     uint64 `json:"id"`
	Tokens int    `json:"tokens"`
}
