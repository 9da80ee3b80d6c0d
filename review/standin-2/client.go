package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// reply is what a client got for one request.
type reply struct {
	status int
	seal   string
	body   string
	err    error
}

// call sends one request on a new connection and reads the whole answer.
func call(address, text string, patience time.Duration) reply {
	connection, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(patience))
	if _, err := io.WriteString(connection, text); err != nil {
		return reply{err: err}
	}
	method, _, _ := strings.Cut(text, " ")
	response, err := http.ReadResponse(bufio.NewReader(connection), &http.Request{Method: method})
	if err != nil {
		return reply{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, seal: response.Header.Get("X-Server-Seal"), body: string(body), err: err}
}

// prompt is the prompt of a request: its tokens, and its parts without the last one, which is the request's own.
type prompt struct {
	tokens, shared string
	own            int
}

// text returns the text of a request with the prompt.
func (p prompt) text(host, path, id string) string {
	body := strings.Repeat("q", 2*p.own)
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Model: m\r\nX-Token-Count: %s\r\n"+
		"X-Prompt-Prefix: %s,%s:%d\r\nX-Deadline-Ms: 8000\r\nContent-Length: %d\r\n\r\n%s", path, host, id, p.tokens, p.shared, id, p.own,
		len(body), body)
}

// chat is a prompt of the sheet's kind courier-chat, verdict one of its kind zone-verdict, with the shared part of
// one of 84 subjects.
var chat = prompt{tokens: "826,26", shared: "5c1e07a2:119,91bd3f06:79", own: 628}

func verdict(subject int) prompt {
	return prompt{tokens: "9190,5", shared: fmt.Sprintf("5c1e07a2:2520,91bd%04x:3780", subject%84), own: 2890}
}
