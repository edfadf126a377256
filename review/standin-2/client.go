package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

type (
	// ask is one client attempt.
	ask struct {
		node     string
		method   string
		path     string
		pieces   int
		pace     time.Duration
		stream   bool
		deadline time.Duration
		body     []byte
		prompt   string
	}

	// reply is what the client saw of it.
	reply struct {
		id     string
		status int
		header http.Header
		body   []byte
		// whole says that the answer ended as complete; err is what it saw instead.
		whole bool
		err   error
	}
)

// send sends a request on a new channel, and reads its answer to the end.
func (a ask) send() reply {
	r := reply{id: fmt.Sprintf("%016x", rand.Uint64())}
	c, err := net.DialTimeout("tcp4", a.node, time.Second)
	if err != nil {
		r.err = err
		return r
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(a.deadline + time.Second))
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Key: %s\r\nX-Deadline-Ms: %d\r\n", a.method, a.path, host, r.id, apiKey, a.deadline.Milliseconds())
	fmt.Fprintf(&head, "X-Test-Pieces: %d\r\nX-Test-Pace-Ms: %d\r\n", a.pieces, a.pace.Milliseconds())
	if a.prompt != "" {
		fmt.Fprintf(&head, "X-Model: m\r\nX-Token-Count: 900,40\r\nX-Prompt-Prefix: %s\r\n", a.prompt)
	}
	if a.stream {
		fmt.Fprint(&head, "X-Test-Stream: 1\r\n")
	}
	if a.method != http.MethodGet {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(a.body))
	}
	head.WriteString("\r\n")
	head.Write(a.body)
	if _, err := c.Write(head.Bytes()); err != nil {
		r.err = err
		return r
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: a.method})
	if err != nil {
		r.err = err
		return r
	}
	r.status, r.header = resp.StatusCode, resp.Header
	r.body, r.err = io.ReadAll(resp.Body)
	r.whole = r.err == nil
	return r
}

// wrong reports whether the client took an answer for a success that isn't the worker's
// whole body.
func (a ask) wrong(r reply) bool {
	if !r.whole || r.status/100 != 2 {
		return false
	}
	full := bytes.Join(answerBody(r.id, a.pieces, a.stream), nil)
	return r.header.Get("X-Server-Seal") != digest(r.body) || !bytes.Equal(full, r.body)
}
