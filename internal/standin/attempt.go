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
	// DefaultLinger is how long a request runs on after its connection broke.
	DefaultLinger = 2 * time.Second
	// maxAttempts is how many attempts are remembered.
	maxAttempts = 1024
)

type (
	// attempt is one request with what it has answered so far, so that its
	// stream can be asked for again after a broken connection.
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
		// passed is how many parts have been written to a connection.
		passed int
		// left says that all connections that read the answer have ended.
		left  bool
		wrote chan struct{}
	}

	// attempts is the newest attempts of an endpoint.
	attempts struct {
		mu    sync.Mutex
		byID  map[string]*attempt
		order []string
	}
)

func newAttempt(id string, cancel context.CancelFunc) *attempt {
	return &attempt{id: id, cancel: cancel, wrote: make(chan struct{})}
}

// add adds a part to the answer: an event, or the whole body.
func (a *attempt) add(part []byte) {
	a.change(func() { a.parts = append(a.parts, part) })
}

// pass notes that the parts before a number have been written to a connection.
func (a *attempt) pass(parts int) {
	a.change(func() { a.passed = max(a.passed, parts) })
}

// delivered waits until so many parts have been written to a connection, or nobody
// reads any more. It reports false where the request ended before.
func (a *attempt) delivered(ctx context.Context, parts int) bool {
	for {
		a.mu.Lock()
		done, wrote := a.passed >= parts || a.left, a.wrote
		a.mu.Unlock()
		if done {
			return true
		}
		select {
		case <-wrote:
		case <-ctx.Done():
			return false
		}
	}
}

func (a *attempt) change(f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f()
	a.wake()
}

// wake tells all that wait for a change; the mutex must be held.
func (a *attempt) wake() {
	close(a.wrote)
	a.wrote = make(chan struct{})
}

// next returns the parts from a number on and whether there will be more.
func (a *attempt) next(from int) (parts [][]byte, ended bool, wrote <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.broken {
		panic(http.ErrAbortHandler)
	}
	return a.parts[min(from, len(a.parts)):], a.ended, a.wrote
}

// join counts a connection; leave ends the request when none has come back for
// a while.
func (a *attempt) join() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers++
}

func (a *attempt) leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers--
	if a.readers > 0 {
		return
	}
	a.left = true
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

// run begins a request apart from its connection.
func (e *Endpoint) run(r *http.Request, work func(r *http.Request, a *attempt)) *attempt {
	ctx, cancel := context.WithCancel(context.WithoutCancel(r.Context()))
	a := newAttempt(r.Header.Get(endpoint.HeaderAttempt), cancel)
	a.faults, a.linger = e.next(), e.config.Linger
	if !a.faults.Forget {
		e.attempts.put(a)
	}
	go func() {
		defer cancel()
		defer func() {
			// A crash ends the work by the panic of an aborted handler.
			broken := recover() != nil
			a.change(func() { a.ended, a.broken = true, broken || len(a.parts) == 0 })
		}()
		work(r.WithContext(ctx), a)
	}()
	return a
}

// serve passes an answer on from a part on, as its parts come.
func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request, a *attempt, from int) {
	a.join()
	defer a.leave()
	out := &faulty{w: w, control: http.NewResponseController(w), faults: a.faults, resumed: r.Method == http.MethodGet}
	for at := from; ; {
		parts, ended, wrote := a.next(at)
		for _, part := range parts {
			out.head(a)
			if !out.part(at, part) {
				return
			}
			at++
			a.pass(at)
		}
		if ended && len(parts) == 0 {
			return
		}
		if len(parts) > 0 {
			continue
		}
		select {
		case <-wrote:
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
