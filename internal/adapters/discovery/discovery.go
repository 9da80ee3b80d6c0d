// Package discovery reads the platform's server list and node list over HTTP.
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

// Directory is an HTTP client for the platform's lists.
type Directory struct {
	client *http.Client
}

// requestTimeout limits how long one request to the platform may take.
const requestTimeout = time.Second

// New returns a directory that sends its requests over the given transport.
func New(transport http.RoundTripper) *Directory {
	return &Directory{client: &http.Client{Transport: transport}}
}

// Servers reads the server list of the platform at address.
func (d *Directory) Servers(ctx context.Context, address string) ([]membership.Server, error) {
	var list struct {
		Servers []membership.Server `json:"servers"`
	}
	err := d.read(ctx, "http://"+address+"/v1/servers", &list)
	return list.Servers, err
}

// Nodes reads the node list of the platform at address.
func (d *Directory) Nodes(ctx context.Context, address string) ([]membership.Node, error) {
	var list struct {
		Nodes []membership.Node `json:"nodes"`
	}
	err := d.read(ctx, "http://"+address+"/v1/nodes", &list)
	return list.Nodes, err
}

// read decodes the JSON document at the URL into target. It fails with Unreachable if the platform
// does not respond with status 200. It fails with Garbage if the body is not the expected JSON, ends
// early or exceeds 4 MiB.
func (d *Directory) read(ctx context.Context, url string, target any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return failure.Wrap(failure.Garbage, err)
	}
	response, err := d.client.Do(request)
	if err != nil {
		return failure.Wrap(failure.Unreachable, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return failure.New(failure.Unreachable, "the platform responded with status "+strconv.Itoa(response.StatusCode))
	}
	return failure.Wrap(failure.Garbage, json.NewDecoder(io.LimitReader(response.Body, 4<<20)).Decode(target))
}
