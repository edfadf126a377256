package once

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// maxPiece is the bytes that are added to a record at once.
const maxPiece = 16 << 10

var (
	// ErrGone is returned where an answer is too large to be given again from
	// its beginning.
	ErrGone = errors.New("once: answer too large to be given again")

	errPanic = errors.New("once: the run ended without an outcome")
)

type (
	// Record is the run of one ticket: the running request's answer, as an
	// http.ResponseWriter, and after its end the kept answer. The run does not
	// end with the connection of the caller that began it; a caller that comes
	// back reads the answer from its beginning.
	Record struct {
		registry *Registry
		serial   uint64
		print    Print
		header   http.Header
		ctx      context.Context

		// What follows is guarded by the registry's lock.
		status  int
		sent    http.Header
		data    []byte
		base    int
		held    int
		state   State
		cut     error
		until   time.Duration
		changed chan struct{}
		readers map[*Reader]struct{}
		waiting bool
	}

	// Reader is one caller that reads a record.
	Reader struct {
		record *Record
		offset int
	}

	// part is what a reader found next.
	part struct {
		status  int
		header  http.Header
		data    []byte
		ended   bool
		cut     error
		changed <-chan struct{}
	}
)

func newRecord(r *Registry, serial uint64, p Print) *Record {
	return &Record{
		registry: r, serial: serial, print: p,
		header: http.Header{}, state: Running,
		changed: make(chan struct{}), readers: map[*Reader]struct{}{},
	}
}

// Header returns the header of the answer. Only the run uses it, before it
// writes.
func (c *Record) Header() http.Header { return c.header }

// WriteHeader sets the status of the answer and fixes its header.
func (c *Record) WriteHeader(status int) {
	c.registry.mu.Lock()
	defer c.registry.mu.Unlock()
	c.writeHeader(status)
}

// Flush does nothing: readers see every write at once.
func (c *Record) Flush() {}

// Write adds to the answer. It fails once the run's context has ended.
//
// An answer that outgrows the memory set aside is passed on to the callers that
// read it and not kept: what all of them have read is dropped, and a slow one
// makes the run wait. Without that, a few long answers would take the node's
// memory.
func (c *Record) Write(data []byte) (int, error) {
	written := 0
	for len(data) > 0 {
		piece := data[:min(len(data), maxPiece)]
		if err := c.write(piece); err != nil {
			return written, err
		}
		written += len(piece)
		data = data[len(piece):]
	}
	return written, nil
}

// Run starts the run. Its work writes the answer and returns what became of the
// request: Done where the endpoint ran it, Void where it certainly did not, and
// Unknown where nobody knows; and an error where the answer was cut.
func (c *Record) Run(ctx context.Context, work func(ctx context.Context, w http.ResponseWriter) (State, error)) {
	c.ctx = ctx
	go func() {
		state, err := Unknown, errPanic
		defer func() { c.end(state, err) }()
		state, err = work(ctx, c)
	}()
}

// Join returns a Reader of the answer from its beginning. It returns ErrGone
// where the beginning is no longer there.
func (c *Record) Join() (*Reader, error) {
	r := c.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.base > 0 {
		return nil, ErrGone
	}
	me := &Reader{record: c}
	c.readers[me] = struct{}{}
	return me, nil
}

// Copy writes the whole answer to a caller as it comes, until the run has ended
// or ctx has, and leaves the record. A cut answer ends with the run's error. It reports whether the answer's head was
// written before an error.
func (d *Reader) Copy(ctx context.Context, w http.ResponseWriter) (started bool, err error) {
	defer d.leave()
	control := http.NewResponseController(w)
	for {
		p := d.next()
		if p.status != 0 && !started {
			started = true
			copyHeader(w, p)
		}
		if len(p.data) > 0 {
			if _, err := w.Write(p.data); err != nil {
				return started, err
			}
			if err := control.Flush(); err != nil {
				return started, err
			}
			continue
		}
		if p.ended {
			return started, p.cut
		}
		select {
		case <-p.changed:
		case <-ctx.Done():
			return started, ctx.Err()
		}
	}
}

func (d *Reader) next() part {
	c := d.record
	r := c.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	data := c.data[d.offset-c.base:]
	d.offset += len(data)
	if len(data) > 0 && c.waiting {
		c.wake()
	}
	return part{status: c.status, header: c.sent, data: data, ended: c.state != Running, cut: c.cut, changed: c.changed}
}

func (d *Reader) leave() {
	r := d.record.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(d.record.readers, d)
	d.record.wake()
}

func copyHeader(w http.ResponseWriter, p part) {
	for name, values := range p.header {
		w.Header()[name] = values
	}
	w.WriteHeader(p.status)
}

func (c *Record) write(data []byte) error {
	r := c.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	c.writeHeader(http.StatusOK)
	for c.crowded(len(data)) && !c.trim() {
		if err := c.wait(); err != nil {
			return err
		}
	}
	c.data = append(c.data, data...)
	c.hold()
	c.wake()
	return nil
}

// wait gives the lock away until a reader has read or left.
func (c *Record) wait() error {
	r := c.registry
	c.waiting = true
	defer func() { c.waiting = false }()
	changed := c.changed
	r.mu.Unlock()
	defer r.mu.Lock()
	select {
	case <-changed:
		return nil
	case <-c.ctx.Done():
		return c.ctx.Err()
	}
}

// end ends the run. A work that panicked ends as Unknown.
func (c *Record) end(s State, cut error) {
	r := c.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	c.state = s
	c.cut = cut
	c.until = r.config.Now() + r.config.Keep
	r.used.set(c.serial, s, r.forget())
	r.ended = append(r.ended, c)
	c.wake()
	r.active--
	close(r.idle)
	r.idle = make(chan struct{})
}

func (c *Record) writeHeader(status int) {
	if c.status != 0 {
		return
	}
	c.status = status
	c.sent = c.header.Clone()
	c.wake()
}

// crowded reports whether more bytes would outgrow the memory, after the oldest
// kept answers have been dropped for them.
func (c *Record) crowded(more int) bool {
	r := c.registry
	if len(c.data)+more > r.config.Answer {
		return true
	}
	for r.memory-c.held+len(c.data)+more > r.config.Memory {
		if !r.dropOldest() {
			return true
		}
	}
	return false
}

// trim drops what every reader has read. It reports whether that was all there
// is.
func (c *Record) trim() bool {
	end := c.base + len(c.data)
	read := end
	for me := range c.readers {
		read = min(read, me.offset)
	}
	if read > c.base {
		// The tail is copied, since readers may still hold the old array.
		c.data = append([]byte(nil), c.data[read-c.base:]...)
		c.base = read
		c.hold()
	}
	return len(c.data) == 0
}

func (c *Record) hold() {
	c.registry.memory += len(c.data) - c.held
	c.held = len(c.data)
}

func (c *Record) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}
