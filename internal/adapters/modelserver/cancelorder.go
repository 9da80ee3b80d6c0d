package modelserver

// CancelOrder is the body of POST /v1/cancel.
type CancelOrder struct {
	Request string `json:"inquiry"`
	Order   string `json:"order,omitempty"`
	Run     int    `json:"run"`
}
