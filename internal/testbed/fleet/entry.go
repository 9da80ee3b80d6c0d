package fleet

import (
	"strconv"
	"time"
)

// Entry is one line of the book: what a stand-in or a caller saw itself.
type Entry struct {
	At         time.Time `json:"at"`
	Kind       EntryKind `json:"kind"`
	Server     string    `json:"server,omitempty"`
	Zone       string    `json:"district,omitempty"`
	Request    string    `json:"inquiry,omitempty"`
	Run        int       `json:"run,omitempty"`
	Handle     string    `json:"handle,omitempty"`
	Idempotent bool      `json:"repeatable,omitempty"`
	// Arrival tells the times apart that a caller sends one id.
	Arrival int    `json:"arrival,omitempty"`
	Router  string `json:"courier,omitempty"`
	Service string `json:"service,omitempty"`

	Holder       string `json:"holder,omitempty"`
	FencingToken uint64 `json:"fence,omitempty"`
	Part         string `json:"part,omitempty"`
	Cause        string `json:"cause,omitempty"`

	Final    string        `json:"final,omitempty"`
	Status   int           `json:"status,omitempty"`
	Asked    int           `json:"asked,omitempty"`
	Texts    []string      `json:"texts,omitempty"`
	Chunks   int           `json:"pieces,omitempty"`
	Took     time.Duration `json:"took,omitempty"`
	Revision int           `json:"edition,omitempty"`
	Depth    int           `json:"depth,omitempty"`
	Age      time.Duration `json:"age,omitempty"`
	Flags    []string      `json:"flags,omitempty"`
}

func (e Entry) arrivalName() string { return e.Request + "@" + strconv.Itoa(e.Arrival) }
