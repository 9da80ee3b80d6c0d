package modelserver

// PartOrder is the body of POST /v1/part.
type PartOrder struct {
	Part                 string `json:"part"`
	FencingToken         uint64 `json:"fence"`
	Holder               string `json:"holder"`
	PatienceMilliseconds int    `json:"patience_milliseconds"`
	Cause                string `json:"cause,omitempty"`
}
