package standin

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/endpoint"
)

const (
	// DefaultLinger is how long a request keeps running after its connection
	// broke.
	DefaultLinger = 2 * time.Second
	// maxAttempts is how many attempts are kept for resumption.
	maxAttempts = 1024
)

type (
	// attempt is one request and the answer that it has produced so far, so
	// that its stream can be resumed after a broken connection.
	attempt struct {
		id     string
		cancel context.CancelFunc
		faults EndpointFaults
		linger time.Duration

		mu      sync.Mutex
		kind    string
		parts   [][]byte
		ended   bool
		broken  bool
		readers int
		// written is how many parts have been written to a connection.
		written int
		// unread is set once no connection reads the answer any more.
		unread bool
		// changed is closed and replaced on every change.
		changed chan struct{}
	}

	// attempts holds the most recent attempts of an endpoint.
	attempts struct {
		mu    sync.Mutex
		byID  map[string]*attempt
		order []string
	}
)

func newAttempt(id string, cancel context.CancelFunc) *attempt {
	return &attempt{id: id, cancel: cancel, changed: make(chan struct{})}
}

// add appends a part to the answer: an event, or the whole body.
func (a *attempt) add(part []byte) {
	a.change(func() { a.parts = append(a.parts, part) })
}

// markWritten records that the first parts of the answer have been written to a
// connection.
func (a *attempt) markWritten(parts int) {
	a.change(func() { a.written = max(a.written, parts) })
}

// waitWritten waits until that many parts have been written to a connection or
// no connection reads the answer any more. It returns false if ctx ends first.
func (a *attempt) waitWritten(ctx context.Context, parts int) bool {
	for {
		a.mu.Lock()
		done, changed := a.written >= parts || a.unread, a.changed
		a.mu.Unlock()
		if done {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// change runs f with the mutex held and wakes the waiters.
func (a *attempt) change(f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f()
	a.wake()
}

// wake wakes the goroutines that wait for a change. The caller holds the mutex.
func (a *attempt) wake() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// partsFrom returns the parts from index from on, whether the answer has ended,
// and a channel that is closed on the next change. It panics with
// http.ErrAbortHandler if the work crashed or ended without an answer.
func (a *attempt) partsFrom(from int) (parts [][]byte, ended bool, changed <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.broken {
		panic(http.ErrAbortHandler)
	}
	return a.parts[min(from, len(a.parts)):], a.ended, a.changed
}

// addReader registers a connection that reads the answer.
func (a *attempt) addReader() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers++
}

// removeReader unregisters a connection. After the last one, the request is
// canceled unless another connection resumes it within the linger time.
func (a *attempt) removeReader() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers--
	if a.readers > 0 {
		return
	}
	a.unread = true
	a.wake()
	if a.ended {
		return
	}
	time.AfterFunc(a.linger, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.readers == 0 {
			a.cancel()
		}
	})
}

func (l *attempts) put(a *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byID[a.id] = a
	l.order = append(l.order, a.id)
	if len(l.order) > maxAttempts {
		delete(l.byID, l.order[0])
		l.order = l.order[1:]
	}
}

func (l *attempts) get(id string) *attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byID[id]
}

// run starts work in a goroutine of its own, with a context that outlives the
// connection of the request.
func (e *Endpoint) run(r *http.Request, work func(r *http.Request, a *attempt)) *attempt {
	ctx, cancel := context.WithCancel(context.WithoutCancel(r.Context()))
	a := newAttempt(r.Header.Get(endpoint.HeaderAttempt), cancel)
	a.faults, a.linger = e.nextFaults(), e.config.Linger
	if !a.faults.Forget {
		e.attempts.put(a)
	}
	go func() {
		defer cancel()
		defer func() {
			// A crash panics with http.ErrAbortHandler.
			broken := recover() != nil
			a.change(func() { a.ended, a.broken = true, broken || len(a.parts) == 0 })
		}()
		work(r.WithContext(ctx), a)
	}()
	return a
}

// serve writes the answer from part from on, as its parts are produced.
func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request, a *attempt, from int) {
	a.addReader()
	defer a.removeReader()
	out := &faultyWriter{w: w, control: http.NewResponseController(w), faults: a.faults, resumed: r.Method == http.MethodGet}
	for at := from; ; {
		parts, ended, changed := a.partsFrom(at)
		for _, part := range parts {
			if at+1 == max(a.faults.SilentAt, 1) && !out.resumed && !pause(r, a.faults.Silent) {
				return
			}
			out.writeHeader(a)
			if a.faults.Endless != "" && !out.resumed {
				writeEndless(w, r, a.faults.Endless)
				return
			}
			if !out.writePart(at, part) {
				return
			}
			at++
			a.markWritten(at)
		}
		if ended && len(parts) == 0 {
			return
		}
		if len(parts) > 0 {
			continue
		}
		select {
		case <-changed:
		case <-e.crashed:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

// resume serves GET /v1/attempts/{id}?from=N.
func (e *Endpoint) resume(w http.ResponseWriter, r *http.Request) {
	a := e.attempts.get(r.PathValue("id"))
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	switch {
	case err != nil || from < 0:
		http.Error(w, "from must be a number", http.StatusBadRequest)
	case a == nil:
		http.NotFound(w, r)
	default:
		e.serve(w, r, a, from)
	}
}

// stop serves DELETE /v1/attempts/{id}.
func (e *Endpoint) stop(w http.ResponseWriter, r *http.Request) {
	if a := e.attempts.get(r.PathValue("id")); a != nil {
		a.cancel()
	}
	w.WriteHeader(http.StatusNoContent)
}
