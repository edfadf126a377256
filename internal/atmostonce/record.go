package atmostonce

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// maxPiece is the maximum number of bytes added to a record at once.
const maxPiece = 16 << 10

var (
	// ErrGone is returned if the beginning of an answer was dropped because the
	// answer is too large to keep.
	ErrGone = errors.New("once: answer too large to be given again")

	errPanic = errors.New("once: the run ended without an outcome")
)

type (
	// Record is the run of one ticket. While the request runs, it is the
	// http.ResponseWriter of the answer; afterwards it stores the answer. The
	// run is independent of the connection that started it: a caller that
	// reconnects reads the answer from the beginning.
	Record struct {
		registry *Registry
		serial   uint64
		print    Print
		header   http.Header
		ctx      context.Context

		// The following fields are guarded by the registry's lock.
		status int
		// sentHeader is the header at the time of WriteHeader.
		sentHeader http.Header
		// data is the stored part of the answer, base its offset.
		data []byte
		base int
		// held is the record's share of the registry's memory count.
		held  int
		state State
		// cut is the error that truncated the answer.
		cut   error
		until time.Duration
		// changed is closed and replaced on every change.
		changed chan struct{}
		readers map[*Reader]struct{}
		// waiting is set while a write waits for a reader.
		waiting bool
	}

	// Reader reads a record for one caller.
	Reader struct {
		record *Record
		offset int
	}

	// part is the next piece of an answer, with the state of its run.
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

// Header returns the header of the answer. Only the run may use it, and only
// before the first write.
func (c *Record) Header() http.Header { return c.header }

// WriteHeader sets the status of the answer and freezes its header.
func (c *Record) WriteHeader(status int) {
	c.registry.mu.Lock()
	defer c.registry.mu.Unlock()
	c.writeHeader(status)
}

// Flush does nothing: readers see every write at once.
func (c *Record) Flush() {}

// Write appends to the answer.
//
// An answer that exceeds the memory limit is passed on to its readers but not
// stored, so that a few long answers cannot exhaust the node's memory: data is
// dropped once all readers have read it, and Write blocks while one of them is
// slow. It fails if the run's context ends meanwhile.
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

// Run runs work in a goroutine. work writes the answer and returns the outcome of
// the request: Done if the endpoint ran it, Void if it certainly did not, Unknown
// otherwise. Its error means that the answer is truncated.
func (c *Record) Run(ctx context.Context, work func(ctx context.Context, w http.ResponseWriter) (State, error)) {
	c.ctx = ctx
	go func() {
		state, err := Unknown, errPanic
		defer func() { c.end(state, err) }()
		state, err = work(ctx, c)
	}()
}

// Join returns a Reader of the answer from its beginning, or ErrGone if the
// beginning was dropped.
func (c *Record) Join() (*Reader, error) {
	r := c.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.base > 0 {
		return nil, ErrGone
	}
	reader := &Reader{record: c}
	c.readers[reader] = struct{}{}
	return reader, nil
}

// Copy writes the answer to w as it arrives, until the run or ctx ends, and
// detaches the Reader. If the answer is truncated, it returns the run's error.
// started reports whether the head of the answer was written.
func (d *Reader) Copy(ctx context.Context, w http.ResponseWriter) (started bool, err error) {
	defer d.detach()
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

// next returns the data that the Reader has not read yet.
func (d *Reader) next() part {
	c := d.record
	r := c.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	data := c.data[d.offset-c.base:]
	d.offset += len(data)
	if len(data) > 0 && c.waiting {
		c.notify()
	}
	return part{status: c.status, header: c.sentHeader, data: data, ended: c.state != Running, cut: c.cut, changed: c.changed}
}

func (d *Reader) detach() {
	r := d.record.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(d.record.readers, d)
	d.record.notify()
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
	for c.exceedsMemory(len(data)) && !c.trim() {
		if err := c.waitForReader(); err != nil {
			return err
		}
	}
	c.data = append(c.data, data...)
	c.updateMemory()
	c.notify()
	return nil
}

// waitForReader releases the registry's lock until a reader reads or detaches.
func (c *Record) waitForReader() error {
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

// end stores the outcome of the run, which is Unknown if work panicked.
func (c *Record) end(s State, cut error) {
	r := c.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	c.state = s
	c.cut = cut
	c.until = r.config.Now() + r.config.Keep
	r.used.set(c.serial, s, r.retainUntil())
	r.ended = append(r.ended, c)
	c.notify()
	r.active--
	close(r.idle)
	r.idle = make(chan struct{})
}

func (c *Record) writeHeader(status int) {
	if c.status != 0 {
		return
	}
	c.status = status
	c.sentHeader = c.header.Clone()
	c.notify()
}

// exceedsMemory reports whether more bytes would exceed the memory limits, even after
// dropping the oldest stored answers.
func (c *Record) exceedsMemory(more int) bool {
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

// trim drops the data that every reader has read. It reports whether no data is
// left.
func (c *Record) trim() bool {
	end := c.base + len(c.data)
	read := end
	for reader := range c.readers {
		read = min(read, reader.offset)
	}
	if read > c.base {
		// Copy the tail, since readers may still use the old array.
		c.data = append([]byte(nil), c.data[read-c.base:]...)
		c.base = read
		c.updateMemory()
	}
	return len(c.data) == 0
}

// updateMemory updates the registry's memory count.
func (c *Record) updateMemory() {
	c.registry.memory += len(c.data) - c.held
	c.held = len(c.data)
}

// notify notifies the goroutines that wait for a change.
func (c *Record) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}
