package standin

import (
	"bytes"
	"fmt"
	"net/http"

	"bulrushhinge.example/bulrushhinge/internal/endpoint"
)

// foreignAttempt is an attempt ID that no node has sent.
const foreignAttempt = "another"

// faultyWriter writes the parts of an answer and injects the configured faults.
type faultyWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	faults  EndpointFaults
	// resumed is set if the client resumes the answer after a broken
	// connection.
	resumed bool
	started bool
}

// writeHeader sets the response headers before the first part.
func (f *faultyWriter) writeHeader(a *attempt) {
	if f.started {
		return
	}
	f.started = true
	id := a.id
	if f.faults.Cross == "head" {
		id = foreignAttempt
	}
	f.w.Header().Set(endpoint.HeaderAttempt, id)
	f.w.Header().Set("Content-Type", a.kind)
}

// writePart writes one part of the answer. It returns false if the answer is to
// be truncated there.
func (f *faultyWriter) writePart(number int, part []byte) bool {
	if !f.resumed {
		switch number + 1 {
		case f.faults.Break:
			panic(http.ErrAbortHandler)
		case f.faults.Truncate:
			return false
		case f.faults.Skip:
			return true
		}
	}
	f.write(part)
	if f.faults.Repeat {
		f.write(part)
	}
	if f.faults.Cross == "body" {
		f.write(bytes.Replace(part, []byte(`"id":"`), []byte(`"id":"`+foreignAttempt), 1))
	}
	_ = f.control.Flush()
	return true
}

func (f *faultyWriter) write(part []byte) { _, _ = f.w.Write(part) }

// writeShort announces the full Content-Length, writes half of the body and
// aborts the connection.
func writeShort(w http.ResponseWriter, data []byte) {
	w.Header().Set("Content-Length", fmt.Sprint(len(data)))
	_, _ = w.Write(data[:len(data)/2])
	panic(http.ErrAbortHandler)
}

// writeUnframed writes half of an HTTP/1.0 body without Content-Length, so that
// only the end of the connection marks its end.
func writeUnframed(w http.ResponseWriter, data []byte) {
	head := w.Header()
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "HTTP/1.0 200 OK\r\nContent-Type: %s\r\n%s: %s\r\n\r\n%s",
		head.Get("Content-Type"), endpoint.HeaderAttempt, head.Get(endpoint.HeaderAttempt), data[:len(data)/2])
}
