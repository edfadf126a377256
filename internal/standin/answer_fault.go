package standin

import (
	"bytes"
	"fmt"
	"net/http"

	"bulrushhinge.example/bulrushhinge/internal/endpoint"
)

// crossed is an attempt that no node asked for.
const crossed = "another"

// faulty writes an answer's parts with what goes wrong.
type faulty struct {
	w       http.ResponseWriter
	control *http.ResponseController
	faults  EndpointFaults
	// resumed is set where the answer was asked for again.
	resumed bool
	started bool
}

// head writes the head of the answer once.
func (f *faulty) head(a *attempt) {
	if f.started {
		return
	}
	f.started = true
	id := a.id
	if f.faults.Cross == "head" {
		id = crossed
	}
	f.w.Header().Set(endpoint.HeaderAttempt, id)
	f.w.Header().Set("Content-Type", a.kind)
}

// part writes a part, and reports false where the answer ends there.
func (f *faulty) part(number int, part []byte) bool {
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
		f.write(bytes.Replace(part, []byte(`"id":"`), []byte(`"id":"`+crossed), 1))
	}
	_ = f.control.Flush()
	return true
}

func (f *faulty) write(part []byte) { _, _ = f.w.Write(part) }

// short writes a whole answer of which a part is missing.
func short(w http.ResponseWriter, data []byte) {
	w.Header().Set("Content-Length", fmt.Sprint(len(data)))
	_, _ = w.Write(data[:len(data)/2])
	panic(http.ErrAbortHandler)
}

// unframed writes half of an answer whose end is marked only by the end of its
// connection.
func unframed(w http.ResponseWriter, data []byte) {
	head := w.Header()
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "HTTP/1.0 200 OK\r\nContent-Type: %s\r\n%s: %s\r\n\r\n%s",
		head.Get("Content-Type"), endpoint.HeaderAttempt, head.Get(endpoint.HeaderAttempt), data[:len(data)/2])
}
