package soak

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Modes of a proxy.
const (
	// modePass forwards all bytes.
	modePass mode = iota
	// modeDelay delays all bytes by proxyDelay.
	modeDelay
	// modeBlackhole keeps connections open and discards all bytes.
	modeBlackhole
	// modeDropReplies discards the bytes sent back to the connecting process.
	modeDropReplies
	// modeReset resets all connections, new ones immediately.
	modeReset
	// modeRefuse refuses new connections; open ones live on.
	modeRefuse
)

const (
	// proxyDelay is how long modeDelay delays bytes.
	proxyDelay = 300 * time.Millisecond
	// endpointBuffer is the buffer of the proxies between nodes and endpoints.
	endpointBuffer = 64 << 10
)

type (
	mode int

	// proxy forwards a process's connections to one address.
	proxy struct {
		listener net.Listener
		target   func() netip.AddrPort
		mu       sync.Mutex
		mode     mode
		open     map[net.Conn]bool
		// buffer bounds what the kernel holds for a connection in each direction; 0 for
		// its default.
		buffer int
		// lossy is how many directions of connections have lost bytes, and disturbed when
		// the proxy last did not forward all bytes at once.
		lossy     int
		disturbed time.Time
		// forwarded is called for the bytes forwarded to a connection; it may be nil.
		forwarded func(to net.Conn, n int)
	}
)

func (m mode) String() string {
	return [...]string{"pass", "delay", "silence", "deafen", "reset", "refuse"}[m]
}

// newProxy starts a proxy on a free port of ip.
func newProxy(ip string, to func() netip.AddrPort) (*proxy, error) {
	return newProxyAt(ip+":0", 0, to)
}

// newProxyAt starts a proxy at an address. A buffer bounds what the kernel holds for its
// connections.
func newProxyAt(addr string, buffer int, to func() netip.AddrPort) (*proxy, error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: to, buffer: buffer, open: map[net.Conn]bool{}}
	p.accept(p.serve)
	return p, nil
}

// accept lets a function serve each connection.
func (p *proxy) accept(serve func(net.Conn)) {
	go func() {
		for {
			c, err := p.listener.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
}

func (p *proxy) addr() netip.AddrPort {
	return netip.MustParseAddrPort(p.listener.Addr().String())
}

// set changes the mode, also for open connections.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode, p.disturbed = m, time.Now()
	if m == modeReset {
		p.breakAll()
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = modeReset
	p.breakAll()
}

// disturbedSince reports whether the proxy has not forwarded all bytes at once at some
// time since then.
func (p *proxy) disturbedSince(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode != modePass || p.lossy > 0 || p.disturbed.After(t)
}

// countLossy counts a direction of a connection that has lost bytes, or (-1) that it has
// ended.
func (p *proxy) countLossy(by int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lossy += by
	p.disturbed = time.Now()
}

// breakAll resets the open connections; the mutex must be held.
func (p *proxy) breakAll() {
	for c := range p.open {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) track(c net.Conn, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on {
		p.open[c] = true
		return
	}
	delete(p.open, c)
}

// bound bounds the bytes that a connection holds unread, if the proxy is to.
func (p *proxy) bound(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok && p.buffer > 0 {
		_ = tcp.SetReadBuffer(p.buffer)
		_ = tcp.SetWriteBuffer(p.buffer)
	}
}

func (p *proxy) serve(in net.Conn) {
	defer func() { _ = in.Close() }()
	if p.currentMode() == modeReset {
		_ = in.(*net.TCPConn).SetLinger(0)
		return
	}
	out, err := net.Dial("tcp4", p.target().String())
	if err != nil {
		_ = in.(*net.TCPConn).SetLinger(0)
		return
	}
	p.join(in, out)
}

// join forwards bytes between two connections until one of them ends.
func (p *proxy) join(in, out net.Conn) {
	defer func() { _ = out.Close() }()
	p.track(in, true)
	p.track(out, true)
	p.bound(in)
	p.bound(out)
	defer p.track(in, false)
	defer p.track(out, false)
	done := make(chan struct{}, 2)
	go p.copy(out, in, modeBlackhole, done)
	go p.copy(in, out, modeDropReplies, done)
	<-done
	_ = out.Close()
	_ = in.Close()
	<-done
}

// copy forwards bytes. A connection that has lost bytes forwards none afterwards, as in
// a partition whose sender does not retransmit.
func (p *proxy) copy(to, from net.Conn, lossy mode, done chan<- struct{}) {
	buffer := make([]byte, 32<<10)
	lost := false
	for {
		n, err := from.Read(buffer)
		m := p.currentMode()
		if !lost && (m == modeBlackhole || m == lossy) {
			lost = true
			p.countLossy(1)
			defer p.countLossy(-1)
		}
		if m == modeDelay {
			time.Sleep(proxyDelay)
		}
		if n > 0 && !lost {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				break
			}
			if p.forwarded != nil {
				p.forwarded(to, n)
			}
		}
		if err != nil {
			break
		}
	}
	if tcp, ok := to.(*net.TCPConn); ok && !lost {
		_ = tcp.CloseWrite()
	}
	done <- struct{}{}
	_, _ = io.Copy(io.Discard, from)
}
