package modelserver

// PrefillOrder is the body of POST /v1/prefill.
type PrefillOrder struct {
	Request      string `json:"inquiry"`
	Order        string `json:"order,omitempty"`
	Run          int    `json:"run"`
	Prompt       string `json:"prompt,omitempty"`
	PromptTokens int    `json:"prompt_tokens"`
	Prefix       string `json:"prefix,omitempty"`
	PrefixTokens int    `json:"prefix_tokens,omitempty"`
}
