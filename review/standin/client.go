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

const (
	clientTimeout = 12 * time.Second
	connectTime   = time.Second
)

type (
	// request is one client attempt.
	request struct {
		node   *process
		method string
		target string
		id     string
		body   string
		header []string
	}

	// answer is what a client got. An answer is complete if its end was marked.
	answer struct {
		status   int
		seal     string
		reason   string
		body     string
		complete bool
		err      error
	}
)

// isCut reports whether the answer is a success whose end is marked, with another body
// than the worker's.
func (a answer) isCut() bool { return a.status/100 == 2 && a.complete && digest(a.body) != a.seal }

// send sends a request on a new channel, and reads the answer.
func (s *system) send(r request) answer {
	s.record.add("send node=%s id=%s line=%q body=%s", r.node.name, r.id, r.method+" "+r.target, digest(r.body))
	a := r.exchange()
	s.record.add("answer node=%s id=%s status=%d complete=%v seal=%s bytes=%d digest=%s reason=%q error=%v", r.node.name, r.id, a.status, a.complete, a.seal, len(a.body), digest(a.body), a.reason, a.err)
	return a
}

func (r request) exchange() answer {
	conn, err := net.DialTimeout("tcp4", r.node.addr, connectTime)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(clientTimeout))
	lines := append([]string{
		r.method + " " + r.target + " HTTP/1.1", "Host: shop.example", "X-Request-Id: " + r.id, "X-Key: key-a",
		fmt.Sprintf("X-Deadline-Ms: %d", clientTimeout.Milliseconds()), fmt.Sprintf("Content-Length: %d", len(r.body)),
	}, r.header...)
	if _, err := io.WriteString(conn, strings.Join(lines, "\r\n")+"\r\n\r\n"+r.body); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: r.method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	a := answer{status: resp.StatusCode, seal: resp.Header.Get("X-Server-Seal"), body: string(body), err: err}
	a.complete = err == nil && (resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0)
	if a.seal == "" {
		a.reason = strings.TrimSpace(a.body)
	}
	return a
}
