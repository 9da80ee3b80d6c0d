package modelserver

// DecodeOrder is the body of POST /v1/decode. Source is the address of the
// server that read the prompt, from which its memory is fetched.
type DecodeOrder struct {
	Request string `json:"inquiry"`
	Order   string `json:"order,omitempty"`
	Run     int    `json:"run"`
	Handle  string `json:"handle"`
	Source  string `json:"source"`
	Chunks  int    `json:"pieces"`
}
