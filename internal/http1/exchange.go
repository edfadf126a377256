package http1

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// maxStale is how many responses to other requests are skipped while waiting
	// for the request's own: an endpoint may respond to an earlier request twice.
	maxStale = 2
	// maxStaleBody bounds the body of such a response.
	maxStaleBody = 64 << 10
	// maxInlineBody is the largest body that is written before the response is
	// awaited: with its header it fits a socket buffer of 16 KiB, so that the
	// write does not block on an endpoint that responds before it reads.
	maxInlineBody = 4 << 10
	// writeGrace is how long a request may still be being written after its
	// response. A goroutine is scheduled within that time, even on a busy machine.
	writeGrace = 100 * time.Millisecond
	// discardTimeout is how long the body of a response that is not used may take, and
	// maxDiscarded its largest size: it usually arrives with its header.
	discardTimeout = 50 * time.Millisecond
	maxDiscarded   = 64 << 10
)

type (
	// Request is one request to an endpoint.
	Request struct {
		Addr netip.AddrPort
		// Process identifies one of the processes that use the address one after
		// another; connections to the others are not used.
		Process uint32
		// ID is the request's ID, which the response must repeat.
		ID string
		// HTTP is the request to send; its body must be of known length.
		HTTP *http.Request
		// MaxIdle is for how long a reused connection may have been idle; with 0, a
		// new connection is opened.
		MaxIdle time.Duration
		// MaxIdleConns is how many idle connections may be kept to the endpoint; with 0,
		// the pool's default holds.
		MaxIdleConns int
		// MaySend is called once a connection is open, and reports whether the
		// request may still be sent; nil means yes.
		MaySend func() bool
	}

	// Exchange is a request that was sent, and its response.
	Exchange struct {
		Response *http.Response
		// NewConn says that no other exchange had used the connection.
		NewConn bool

		pool         *Pool
		peer         peer
		maxIdleConns int
		conn         *conn
		body         *trackedBody
		stop         func() bool
		// written is closed once writing the request has ended, with writeErr.
		written  chan struct{}
		writeErr error
		ended    atomic.Bool
		// framed says that the response's end is marked by its length or a final
		// chunk rather than by the end of the connection.
		framed bool
	}

	// trackedBody is a body that knows whether it was read to its end. One that ends with
	// its connection returns io.EOF only if the endpoint has closed its sending side.
	trackedBody struct {
		io.ReadCloser
		exchange *Exchange
		ended    bool
	}

	// requestWriter keeps the connection's error: http.Request.Write returns one that
	// cannot be unwrapped.
	requestWriter struct {
		io.Writer
		err error
	}
)

// Write implements io.Writer.
func (w *requestWriter) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	w.err = cmp.Or(w.err, err)
	return n, err
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.exchange.framed {
		err = cmp.Or(b.exchange.broken(), err)
	}
	b.ended = b.ended || errors.Is(err, io.EOF)
	return n, err
}

// Do sends a request and waits for the response's header. ErrConnect and ErrWithdrawn
// mean that nothing was sent; after any other error the request may have run. The end
// of ctx closes the connection, which tells the endpoint to stop.
func (p *Pool) Do(ctx context.Context, r Request) (*Exchange, error) {
	to := peer{addr: r.Addr, process: r.Process}
	c := p.take(to, r.MaxIdle)
	if c == nil {
		var err error
		if c, err = p.open(ctx, r.Addr); err != nil {
			return nil, err
		}
	}
	if r.MaySend != nil && !r.MaySend() {
		_ = c.Close()
		return nil, ErrWithdrawn
	}
	x := &Exchange{pool: p, peer: to, maxIdleConns: cmp.Or(r.MaxIdleConns, defaultMaxIdleConns), conn: c, NewConn: !c.used, written: make(chan struct{})}
	x.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	if r.HTTP.ContentLength <= maxInlineBody {
		x.write(r.HTTP)
	} else {
		go x.write(r.HTTP)
	}
	resp, err := x.await(r)
	if err != nil {
		if !x.NewConn && ctx.Err() == nil && IsClosedByPeer(err) {
			p.lowerIdleLimit(c.idleFor)
		}
		x.Abort()
		return nil, err
	}
	x.body = &trackedBody{ReadCloser: resp.Body, exchange: x}
	resp.Body = x.body
	x.Response = resp
	x.framed = resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	return x, nil
}

// write writes the request.
func (x *Exchange) write(r *http.Request) {
	w := &requestWriter{Writer: x.conn}
	err := r.Write(w)
	x.writeErr = cmp.Or(w.err, err)
	close(x.written)
}

// broken returns the error that has broken the connection, once reading has returned
// io.EOF; nil if the endpoint has closed its sending side.
//
// Linux reports a reset or a timeout to one call on the socket only. If that call writes
// the request, reading returns io.EOF, as it does if the endpoint has closed its sending
// side. If it had done that before the reset, writing fails with EPIPE instead.
func (x *Exchange) broken() error {
	if !x.conn.hungUp() {
		return nil
	}
	// Writing ends soon on a connection that is closed in both directions.
	<-x.written
	if x.writeErr == nil || errors.Is(x.writeErr, syscall.EPIPE) {
		return nil
	}
	return fmt.Errorf("%w: %w", ErrBroken, x.writeErr)
}

// await reads responses until one repeats the request's ID.
//
// An endpoint may send a response twice, or late: it is then received where the next
// response on that connection is expected. The request's ID tells them apart.
func (x *Exchange) await(r Request) (*http.Response, error) {
	for range maxStale + 1 {
		resp, err := x.conn.readResponse(r.HTTP)
		if err != nil {
			return nil, err
		}
		id := resp.Header.Get(x.pool.config.RequestID)
		if id == r.ID || (id == "" && x.NewConn) {
			return resp, nil
		}
		if x.NewConn {
			return nil, fmt.Errorf("%w: response to another request", ErrBroken)
		}
		if _, err := io.CopyN(io.Discard, resp.Body, maxStaleBody); !errors.Is(err, io.EOF) {
			return nil, fmt.Errorf("%w: response to another request", ErrBroken)
		}
	}
	return nil, fmt.Errorf("%w: responses to other requests", ErrBroken)
}

// Finish ends an exchange. The connection is returned to the pool if it may be reused
// and the response has been read to its end.
func (x *Exchange) Finish() {
	if !x.ended.CompareAndSwap(false, true) {
		return
	}
	if alive := x.stop(); !alive || x.Response.Close || !x.framed || !x.body.ended {
		_ = x.conn.Close()
		return
	}
	select {
	case <-x.written:
		x.recycle()
	default:
		go x.awaitWrite()
	}
}

// Discard ends an exchange whose response's body is not used. The body is read if it is
// short and arrives soon, so that the connection can be reused.
func (x *Exchange) Discard() {
	if x.framed {
		// An error means that the connection is not reused.
		_ = x.conn.SetReadDeadline(time.Now().Add(discardTimeout))
		_, _ = io.CopyN(io.Discard, x.Response.Body, maxDiscarded+1)
	}
	x.Finish()
}

// awaitWrite recycles the connection of an exchange whose response came before the
// request was known to be written: its goroutine may not have been scheduled yet, or
// the endpoint has not read all of the request.
func (x *Exchange) awaitWrite() {
	select {
	case <-x.written:
		x.recycle()
	case <-time.After(writeGrace):
		_ = x.conn.Close()
	}
}

// recycle returns the connection to the pool if the request was written.
//
// An endpoint may respond before it has read the request. What it reads later on
// this connection must be the rest of that request, so the connection is reused
// only if all of it was written.
func (x *Exchange) recycle() {
	if x.writeErr != nil {
		_ = x.conn.Close()
		return
	}
	_ = x.conn.SetDeadline(time.Time{})
	x.conn.idleTimeout = keepAlive(x.Response.Header.Get("Keep-Alive"))
	x.pool.put(x.peer, x.conn, x.maxIdleConns)
}

// Framed reports whether a length or a final chunk marks the response's end. Without,
// it ends with its connection, which does not show whether it is complete.
func (x *Exchange) Framed() bool { return x.framed }

// Abort ends an exchange and closes its connection.
func (x *Exchange) Abort() {
	if !x.ended.CompareAndSwap(false, true) {
		return
	}
	x.stop()
	_ = x.conn.Close()
}

// keepAlive returns how long a connection may stay idle, given its Keep-Alive header.
// That is less than the endpoint keeps it, so that no request is sent while the
// endpoint closes it.
func keepAlive(header string) time.Duration {
	for _, part := range strings.Split(header, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.ParseFloat(value, 64); err == nil && s > 0 {
			return min(time.Duration(s*float64(time.Second))*3/4, MaxIdle)
		}
	}
	return defaultIdle
}

// IsClosedByPeer reports whether an error says that the peer closed or reset the
// connection before a response was complete.
func IsClosedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// IsRefused reports whether an error says that the peer refused the connection.
func IsRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// IsTimeout reports whether an error is a timeout, such as of a read deadline.
func IsTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}
