package modelserver

// StreamLine is one line of the answer to POST /v1/decode. The last one has
// Done and the number of all chunks.
type StreamLine struct {
	Request string `json:"inquiry"`
	Run     int    `json:"run"`
	Chunk   int    `json:"piece,omitempty"`
	Text    string `json:"text,omitempty"`
	Done    bool   `json:"done,omitempty"`
	Chunks  int    `json:"pieces,omitempty"`
}
