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
	// maxStray is how many answers to other requests are passed over while the
	// own one is awaited: an endpoint may answer an earlier request twice.
	maxStray = 2
	// maxStrayBody bounds the body of such an answer.
	maxStrayBody = 64 << 10
	// inlineBody is the largest body that is written before the answer is
	// awaited: with its head it fits a socket's buffer of 16 KiB, so that the
	// writing does not wait for an endpoint that answers before it reads.
	inlineBody = 4 << 10
	// writeGrace is how long an answered request may still be on its way out.
	// A goroutine waits for its turn for less than that, also on a busy machine.
	writeGrace = 100 * time.Millisecond
)

type (
	// Request is one request to an endpoint.
	Request struct {
		Addr netip.AddrPort
		// Process tells apart the processes that are at the address one after
		// another; connections to another one are not used.
		Process uint32
		// ID is the request's ID, which the answer must name.
		ID string
		// HTTP is what is sent; its body must be of known length.
		HTTP *http.Request
		// Idle is for how long a kept connection may have been idle; longer
		// idle ones are passed over, and with 0 all.
		Idle time.Duration
		// Keep is how many idle connections may be kept to the endpoint, with 0
		// some.
		Keep int
		// Go is asked once a connection is open, and reports whether the request
		// may still be sent; nil for yes.
		Go func() bool
	}

	// Exchange is a request that was sent, and its answer.
	Exchange struct {
		Response *http.Response
		// Fresh says that no other exchange had used the connection.
		Fresh bool

		pool *Pool
		peer peer
		most int
		conn *conn
		stop func() bool
		// wrote tells how the writing of the request ended.
		wrote chan error
		ended atomic.Bool
		// framed says that the answer's end is marked by its length or a last
		// chunk, rather than by the connection's end.
		framed bool
	}
)

// Do sends a request and waits for the answer's head. ErrConnect and ErrWithdrawn
// say that nothing was sent; after every other error the request may have run. The end
// of ctx closes the connection, which tells the endpoint to stop.
func (p *Pool) Do(ctx context.Context, r Request) (*Exchange, error) {
	to := peer{addr: r.Addr, process: r.Process}
	c := p.take(to, r.Idle)
	if c == nil {
		var err error
		if c, err = p.open(ctx, r.Addr); err != nil {
			return nil, err
		}
	}
	if r.Go != nil && !r.Go() {
		_ = c.Close()
		return nil, ErrWithdrawn
	}
	x := &Exchange{pool: p, peer: to, most: cmp.Or(r.Keep, maxKept), conn: c, Fresh: !c.used, wrote: make(chan error, 1)}
	x.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	if r.HTTP.ContentLength <= inlineBody {
		x.wrote <- r.HTTP.Write(c)
	} else {
		go func() { x.wrote <- r.HTTP.Write(c) }()
	}
	resp, err := x.await(r)
	if err != nil {
		if !x.Fresh && ctx.Err() == nil && IsCut(err) {
			p.forgotten(c.rested)
		}
		x.Abort()
		return nil, err
	}
	x.Response = resp
	x.framed = resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	return x, nil
}

// await reads answers until one names the request.
//
// An endpoint may send an answer twice, or late: it then stands where the next
// answer on that connection is expected. The request's ID tells them apart.
func (x *Exchange) await(r Request) (*http.Response, error) {
	for range maxStray + 1 {
		resp, err := x.conn.answer(r.HTTP)
		if err != nil {
			return nil, err
		}
		id := resp.Header.Get(x.pool.config.RequestID)
		if id == r.ID || (id == "" && x.Fresh) {
			return resp, nil
		}
		if x.Fresh {
			return nil, fmt.Errorf("%w: answer of another request", ErrBroken)
		}
		if _, err := io.CopyN(io.Discard, resp.Body, maxStrayBody); !errors.Is(err, io.EOF) {
			return nil, fmt.Errorf("%w: answer of another request", ErrBroken)
		}
	}
	return nil, fmt.Errorf("%w: answers of other requests", ErrBroken)
}

// Finish ends an exchange whose answer has been read to its end. The connection
// is kept if it may be used again.
func (x *Exchange) Finish() {
	if !x.ended.CompareAndSwap(false, true) {
		return
	}
	if alive := x.stop(); !alive || x.Response.Close || !x.framed {
		_ = x.conn.Close()
		return
	}
	select {
	case err := <-x.wrote:
		x.settle(err)
	default:
		go x.awaitWrite()
	}
}

// awaitWrite settles an exchange that was answered before its request counts as
// written: the goroutine that writes it may not have had its turn yet, or the
// endpoint has not read it all.
func (x *Exchange) awaitWrite() {
	select {
	case err := <-x.wrote:
		x.settle(err)
	case <-time.After(writeGrace):
		_ = x.conn.Close()
	}
}

// settle keeps the connection, if the request was written.
//
// An endpoint may answer before it has read the request. What it reads later on
// this connection must be the rest of that request, so the connection is used
// again only if all of it was written.
func (x *Exchange) settle(err error) {
	if err != nil {
		_ = x.conn.Close()
		return
	}
	_ = x.conn.SetDeadline(time.Time{})
	x.conn.idle = keepAlive(x.Response.Header.Get("Keep-Alive"))
	x.pool.keep(x.peer, x.conn, x.most)
}

// Abort ends an exchange and closes its connection.
func (x *Exchange) Abort() {
	if !x.ended.CompareAndSwap(false, true) {
		return
	}
	x.stop()
	_ = x.conn.Close()
}

// keepAlive returns how long a connection may stay idle; it is given up some
// time before the endpoint does, so that no request crosses the close.
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

// IsCut reports whether an error says that the other side ended the connection
// before an answer was complete.
func IsCut(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// IsTimeout reports whether an error is a read deadline's.
func IsTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}
