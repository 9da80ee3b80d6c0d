package modelserver

// PrefillAnswer is the answer to POST /v1/prefill.
type PrefillAnswer struct {
	Request string `json:"inquiry"`
	Run     int    `json:"run"`
	Handle  string `json:"handle"`
}
