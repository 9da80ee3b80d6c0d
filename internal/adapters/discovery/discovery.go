// Package directory reads the platform's lists of servers and nodes over HTTP.
package discovery

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/membership"
)

// Directory asks one platform.
type Directory struct {
	client *http.Client
}

// patience is how long the platform may take to answer.
const patience = time.Second

// New makes a directory over a transport.
func New(transport http.RoundTripper) *Directory {
	return &Directory{client: &http.Client{Transport: transport}}
}

// Servers reads the server list.
func (d *Directory) Servers(lifetime context.Context, address string) ([]membership.Server, error) {
	var list struct {
		Servers []membership.Server `json:"servers"`
	}
	err := d.read(lifetime, "http://"+address+"/v1/servers", &list)
	return list.Servers, err
}

// Nodes reads the node list.
func (d *Directory) Nodes(lifetime context.Context, address string) ([]membership.Node, error) {
	var list struct {
		Nodes []membership.Node `json:"nodes"`
	}
	err := d.read(lifetime, "http://"+address+"/v1/nodes", &list)
	return list.Nodes, err
}

func (d *Directory) read(lifetime context.Context, location string, target any) error {
	lifetime, end := context.WithTimeout(lifetime, patience)
	defer end()
	outbound, err := http.NewRequestWithContext(lifetime, http.MethodGet, location, nil)
	if err != nil {
		return failure.Wrap(failure.Garbage, err)
	}
	inbound, err := d.client.Do(outbound)
	if err != nil {
		return failure.Wrap(failure.Unreachable, err)
	}
	defer func() { _ = inbound.Body.Close() }()
	if inbound.StatusCode != http.StatusOK {
		return failure.New(failure.Unreachable, "the platform answers "+strconv.Itoa(inbound.StatusCode))
	}
	return failure.Wrap(failure.Garbage, json.NewDecoder(io.LimitReader(inbound.Body, 4<<20)).Decode(target))
}
