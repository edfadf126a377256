// Package account reports the outcomes of callers' requests from the nodes'
// logs: which were answered in time, late or not at all, when, and for what
// reason.
package account

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"
)

const (
	// maxLine bounds a line of a log, in bytes.
	maxLine = 1 << 20
	// retryWindow is how long after a refusal the same request counts as the
	// caller's retry: the longest that callers wait for an answer today.
	retryWindow = 15 * time.Second

	eventAttempt = "attempt"
	eventRefused = "refused"

	resultAnswered   = "answered"
	resultCallerGone = "caller-gone"
)

// ErrLog is returned for logs that hold no line about a request.
var ErrLog = errors.New("account: no line about a request")

type (
	// line has the fields that are used of a line about a request.
	line struct {
		At          time.Time `json:"time"`
		Event       string    `json:"event"`
		Request     string    `json:"request"`
		Route       string    `json:"route"`
		Fingerprint string    `json:"print"`
		Result      string    `json:"result"`
		Reason      string    `json:"reason"`
		Status      int       `json:"status"`
		Cut         bool      `json:"cut"`
		// Age is the time since the request's arrival, Took the time since the
		// attempt's start, and First the time from there to the start of the
		// answer.
		Age     int64 `json:"age_ms"`
		Took    int64 `json:"took_ms"`
		First   int64 `json:"first_ms"`
		Prefill int64 `json:"reading_ms"`
		Due     int64 `json:"due_ms"`
	}

	// try is one request of a caller, with its attempts in order.
	try struct {
		arrived, ended time.Time
		attempts       []line
		refused        *line
	}

	// call is a caller's request with its retries.
	call struct {
		route     string
		objective time.Duration
		tries     []*try
	}
)

// Read reads logs of any number of nodes. Lines may have a prefix before the
// JSON, such as the node's name; lines without JSON are skipped.
func Read(r io.Reader) (*Report, error) {
	tries := map[string]*try{}
	err := scanLines(r, func(l line) {
		if l.Request == "" || (l.Event != eventAttempt && l.Event != eventRefused) {
			return
		}
		if tries[l.Request] == nil {
			tries[l.Request] = &try{}
		}
		tries[l.Request].add(l)
	})
	if err != nil {
		return nil, err
	}
	if len(tries) == 0 {
		return nil, ErrLog
	}
	return newReport(groupCalls(tries)), nil
}

// scanLines calls fn with each line that holds JSON, decoded.
func scanLines[T any](r io.Reader, fn func(l T)) error {
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxLine)
	for in.Scan() {
		var l T
		text := in.Bytes()
		begin := bytes.IndexByte(text, '{')
		if begin < 0 || json.Unmarshal(text[begin:], &l) != nil {
			continue
		}
		fn(l)
	}
	if err := in.Err(); err != nil {
		return fmt.Errorf("account: %w", err)
	}
	return nil
}

func (t *try) add(l line) {
	arrived := l.At.Add(-ms(l.Age))
	if t.arrived.IsZero() || arrived.Before(t.arrived) {
		t.arrived = arrived
	}
	if l.At.After(t.ended) {
		t.ended = l.At
	}
	if l.Event == eventRefused {
		t.refused = &l
		return
	}
	t.attempts = append(t.attempts, l)
}

// groupCalls groups tries into calls: a try is a retry if it follows one of the
// same request that was not answered.
func groupCalls(tries map[string]*try) []*call {
	type named struct {
		id string
		*try
	}
	var all []named
	for id, t := range tries {
		slices.SortFunc(t.attempts, func(a, b line) int { return a.At.Compare(b.At) })
		all = append(all, named{id, t})
	}
	slices.SortFunc(all, func(a, b named) int {
		return cmp.Or(a.arrived.Compare(b.arrived), cmp.Compare(a.id, b.id))
	})
	var calls []*call
	open := map[string]*call{}
	for _, t := range all {
		first := t.any()
		name := first.Route + " " + first.Fingerprint
		c := open[name]
		if first.Fingerprint == "" || c == nil || c.answered() || t.arrived.Sub(c.last().ended) > retryWindow {
			c = &call{route: first.Route, objective: ms(first.Due)}
			calls = append(calls, c)
			open[name] = c
		}
		c.tries = append(c.tries, t.try)
	}
	return calls
}

// any returns one of the try's lines: its first attempt, or its refusal if it
// has none.
func (t *try) any() line {
	if len(t.attempts) > 0 {
		return t.attempts[0]
	}
	return *t.refused
}

func (t *try) answered() bool {
	return len(t.attempts) > 0 && t.attempts[len(t.attempts)-1].Result == resultAnswered
}

func (c *call) last() *try { return c.tries[len(c.tries)-1] }

func (c *call) answered() bool { return c.last().answered() }

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
