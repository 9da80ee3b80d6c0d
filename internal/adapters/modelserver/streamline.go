package modelserver

// StreamLine is one line of the answer to POST /v1/decode. The last one has
// Done and the number of all pieces.
type StreamLine struct {
	Inquiry string `json:"inquiry"`
	Run     int    `json:"run"`
	Piece   int    `json:"piece,omitempty"`
	Text    string `json:"text,omitempty"`
	Done    bool   `json:"done,omitempty"`
	Pieces  int    `json:"pieces,omitempty"`
}
