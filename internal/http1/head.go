package http1

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
)

const (
	// maxHeadBytes bounds the bytes that are read for the head of a response, with the
	// informational responses before it.
	maxHeadBytes = 64 << 10
	// maxHeadLines bounds the lines of these: a field takes some hundred bytes of memory
	// in addition to its text.
	maxHeadLines = 1000
	// maxErrorText bounds the text of errors, some of which quote what was received.
	maxErrorText = 256
)

var (
	// ErrHeadTooLarge is returned if the head of a response was too large, or had no end.
	ErrHeadTooLarge = fmt.Errorf("%w: head too large", ErrBroken)
	errHeadBytes    = fmt.Errorf("%w: more than %d bytes", ErrHeadTooLarge, maxHeadBytes)
	errHeadLines    = fmt.Errorf("%w: more than %d lines", ErrHeadTooLarge, maxHeadLines)
)

type (
	// headReader bounds what is read from a connection for the head of a response. A
	// bufio.Reader reads from it only if what it has buffered is not enough, so that all that
	// was read before, but not the last time, belongs to the head.
	headReader struct {
		from io.Reader
		// limited says that a head is being read, of which so many bytes and lines were read.
		limited bool
		bytes   int
		lines   int
		// err is the limit that was exceeded.
		err error
	}

	// StrictTransport is a transport that returns an error instead of a response whose head is
	// invalid.
	StrictTransport struct{ *http.Transport }
)

// Read implements io.Reader.
func (r *headReader) Read(b []byte) (int, error) {
	if !r.limited {
		return r.from.Read(b)
	}
	switch {
	case r.bytes >= maxHeadBytes:
		r.err = errHeadBytes
	case r.lines >= maxHeadLines:
		r.err = errHeadLines
	}
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.from.Read(b[:min(len(b), maxHeadBytes-r.bytes)])
	r.bytes += n
	r.lines += bytes.Count(b[:n], []byte("\n"))
	return n, err
}

// RoundTrip implements http.RoundTripper.
func (t StrictTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := checkHead(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// checkHead returns an error if the head of a response is invalid, although net/http accepts
// it: it ignores a field such as "Content-Length : 2", so that the body ends elsewhere, and
// takes any number of three characters as a status. One below 200 ends no response.
func checkHead(resp *http.Response) error {
	if resp.StatusCode < http.StatusOK {
		return fmt.Errorf("%w: status %q", ErrBroken, shorten(resp.Status))
	}
	for name := range resp.Header {
		if strings.Contains(name, " ") {
			return fmt.Errorf("%w: blank in the name of a field: %q", ErrBroken, shorten(name))
		}
	}
	return nil
}

// response reads the next response's head from in, which reads from r. It skips
// informational responses.
func (r *headReader) response(in *bufio.Reader, req *http.Request) (*http.Response, error) {
	r.limited, r.bytes, r.lines = true, 0, 0
	defer func() { r.limited = false }()
	resp, err := http.ReadResponse(in, req)
	for err == nil && resp.StatusCode/100 == 1 {
		resp, err = http.ReadResponse(in, req)
	}
	if err == nil {
		if err := checkHead(resp); err != nil {
			return nil, err
		}
		return resp, nil
	}
	switch {
	case r.err != nil:
		// The error may say instead that what was read is malformed.
		return nil, r.err
	case len(err.Error()) > maxErrorText:
		return nil, fmt.Errorf("%w: %s", ErrBroken, shorten(err.Error()))
	}
	return nil, fmt.Errorf("%w: %w", ErrBroken, err)
}

// shorten returns the beginning of a text that was received.
func shorten(text string) string {
	return strings.ToValidUTF8(text[:min(len(text), maxErrorText)], "")
}
