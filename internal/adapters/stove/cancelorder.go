package stove

// CancelOrder is the body of POST /v1/cancel.
type CancelOrder struct {
	Inquiry string `json:"inquiry"`
	Run     int    `json:"run"`
}
