package rpc

import (
	"context"
	"time"
)

// Line is a caller for as long as one process lives.
type Line struct {
	Caller   *Caller
	Lifetime context.Context
}

// CallRaw sends an encoded message and returns the encoded answer.
func (l Line) CallRaw(address, path string, body []byte, patience time.Duration) ([]byte, error) {
	return l.Caller.CallRaw(l.Lifetime, address, path, body, patience)
}
