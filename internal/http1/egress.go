package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"syscall"
	"time"
)

// ErrEgress is returned if an egress proxy does not open a connection.
var ErrEgress = errors.New("http1: egress proxy")

// Egress is a Dialer that opens connections through an HTTP proxy, with CONNECT.
type Egress struct {
	// Proxy is the proxy's address.
	Proxy netip.AddrPort
	// Timeout bounds opening a connection, at the proxy too.
	Timeout time.Duration
}

// DialContext implements Dialer. A status of 502 says that the address refuses
// connections.
func (e *Egress) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, e.Timeout)
	defer cancel()
	c, err := NewDialer(DialerConfig{Timeout: e.Timeout}).DialContext(ctx, network, e.Proxy.String())
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	err = connect(c, address)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	return c, nil
}

// connect asks the proxy at the other end of a connection to connect it with an address.
func connect(c net.Conn, address string) error {
	req := &http.Request{Method: http.MethodConnect, URL: &url.URL{Opaque: address}, Host: address, Header: http.Header{}}
	if err := req.Write(c); err != nil {
		return fmt.Errorf("%w: %w", ErrEgress, err)
	}
	head := &headReader{from: c}
	in := bufio.NewReader(head)
	resp, err := head.response(in, req)
	switch {
	case err != nil:
		// Not ErrBroken: nothing was sent to the address.
		return fmt.Errorf("%w: %v", ErrEgress, err)
	case resp.StatusCode == http.StatusBadGateway:
		return fmt.Errorf("%w: %s: %w", ErrEgress, address, syscall.ECONNREFUSED)
	case resp.StatusCode != http.StatusOK || in.Buffered() > 0:
		return fmt.Errorf("%w: %s: %s", ErrEgress, address, shorten(resp.Status))
	}
	return nil
}
