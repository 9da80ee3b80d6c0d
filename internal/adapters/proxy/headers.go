package proxy

import (
	"net/http"
	"strings"
)

// oneConnection are the headers that concern one connection only.
var oneConnection = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true}

// copyEndToEnd copies the headers that are not one connection's own, and leaves the
// content's length to who writes the body.
func copyEndToEnd(target, source http.Header, protected ...string) {
	for name, values := range source {
		if !oneConnection[name] && name != "Content-Length" {
			target[name] = values
		}
	}
	for _, listed := range source["Connection"] {
		for name := range strings.SplitSeq(listed, ",") {
			name = http.CanonicalHeaderKey(strings.TrimSpace(name))
			if !isProtected(name, protected) {
				delete(target, name)
			}
		}
	}
	if _, found := target["Content-Type"]; !found {
		// Nothing is to be guessed.
		target["Content-Type"] = nil
	}
}

// isProtected tells whether a header stays even when its connection is said to own it.
func isProtected(name string, protected []string) bool {
	for _, word := range protected {
		if word == name {
			return true
		}
	}
	return false
}
