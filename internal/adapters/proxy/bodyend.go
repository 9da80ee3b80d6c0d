package proxy

import (
	"bytes"
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"strings"

	"seamloom.example/seamloom/internal/failure"
)

// bodyEnd is how the body of a server's response ended. The text is the value of a metric label.
type bodyEnd string

const (
	// bodyFramed: the declared length or the last chunk has arrived, which proves that the body is complete.
	bodyFramed bodyEnd = "framed"
	// bodyClosed: the server closed the connection where a body without length and chunks may end. Nothing
	// proves that the body is complete, and nothing shows that it is not.
	bodyClosed bodyEnd = "closed"
	// bodyTruncated: the server closed the connection of such a body, and the content shows that its end is missing.
	bodyTruncated bodyEnd = "truncated"
	// bodyBroken: the body could not be read to its end.
	bodyBroken bodyEnd = "broken"
)

// isRegular reports whether a body that ended so counts as complete.
func (b bodyEnd) isRegular() bool { return b == bodyFramed || b == bodyClosed }

// countBodyEnd counts how the body of the dispatch's response ended, and returns it; err is the error of the last
// read. Incomplete says that the content lacks its end, which counts only if nothing but the end of the connection
// marks the end of the body. Bodies that were cut off because the client left are not counted.
func (d *dispatch) countBodyEnd(err error, incomplete bool) bodyEnd {
	end := d.bodyEnd(err, incomplete)
	if d.exchange.inbound.Context().Err() == nil {
		d.exchange.handler.meter.bodyEnds[end].Inc()
	}
	return end
}

// bodyEnd returns how the body of the dispatch's response ended; the arguments are those of countBodyEnd.
func (d *dispatch) bodyEnd(err error, incomplete bool) bodyEnd {
	switch {
	case err != io.EOF:
		return bodyBroken
	case !d.closeDelimited:
		return bodyFramed
	case incomplete:
		return bodyTruncated
	}
	return bodyClosed
}

// endsRegularly reports whether the last read of an event stream found its regular end.
func (d *dispatch) endsRegularly(events *eventReader) bool {
	return events.err != nil && d.bodyEnd(events.err, events.incomplete()).isRegular()
}

// isCloseDelimited reports whether a response has a body with neither a length nor chunks, which ends with its
// connection (RFC 9112, section 6.3). Such a body ends in the same way if its server crashes.
func isCloseDelimited(response *http.Response) bool {
	return response.Body != http.NoBody && response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// errTruncated reports a body that ended with its connection, and whose content lacks its end.
var errTruncated = failure.New(failure.Garbage, "the connection ended within the response")

// readBody reads the body of the dispatch's response to its end, as readBounded does. It also fails with
// errTruncated, and then returns the part of the body that arrived.
func (d *dispatch) readBody(limit int) ([]byte, error) {
	body, err := readBounded(d.response.Body, d.response.ContentLength, limit)
	switch err {
	case nil:
		incomplete := d.closeDelimited && isIncompleteJSON(d.response.Header.Get("Content-Type"), body)
		if d.countBodyEnd(io.EOF, incomplete) == bodyTruncated {
			return body, errTruncated
		}
	case errOversize:
	default:
		d.countBodyEnd(err, false)
	}
	return body, err
}

// isIncompleteJSON reports whether a body of this content type is JSON that lacks its end. It is false for a
// malformed body, which may be all that the server sent.
func isIncompleteJSON(contentType string, body []byte) bool {
	mediaType, _, err := mime.ParseMediaType(contentType)
	if err != nil || mediaType != "application/json" && !strings.HasSuffix(mediaType, "+json") {
		return false
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	for values := 0; ; values++ {
		var value json.RawMessage
		switch decoder.Decode(&value) {
		case nil:
		case io.EOF:
			return values == 0
		case io.ErrUnexpectedEOF:
			return true
		default:
			return false
		}
	}
}
