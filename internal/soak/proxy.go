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
	// passes lets all bytes through.
	passes mode = iota
	// delays holds all bytes back for a time.
	delays
	// silences keeps connections open and loses all bytes.
	silences
	// deafens loses the bytes that come back.
	deafens
	// resets breaks all connections, and new ones at once.
	resets
)

// proxyDelay is how long a delaying proxy holds bytes back.
const proxyDelay = 300 * time.Millisecond

type (
	mode int

	// proxy stands between a process and one address it connects to.
	proxy struct {
		listener net.Listener
		to       func() netip.AddrPort
		mu       sync.Mutex
		mode     mode
		open     map[net.Conn]bool
	}
)

func (m mode) String() string {
	return [...]string{"pass", "delay", "silence", "deafen", "reset"}[m]
}

// newProxy listens on an address of its own.
func newProxy(ip string, to func() netip.AddrPort) (*proxy, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, to: to, open: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

func (p *proxy) addr() netip.AddrPort {
	return netip.MustParseAddrPort(p.listener.Addr().String())
}

// set changes the mode, also for open connections.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == resets {
		p.breakAll()
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.breakAll()
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

func (p *proxy) now() mode {
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

func (p *proxy) serve(in net.Conn) {
	defer func() { _ = in.Close() }()
	if p.now() == resets {
		_ = in.(*net.TCPConn).SetLinger(0)
		return
	}
	out, err := net.Dial("tcp4", p.to().String())
	if err != nil {
		_ = in.(*net.TCPConn).SetLinger(0)
		return
	}
	defer func() { _ = out.Close() }()
	p.track(in, true)
	p.track(out, true)
	defer p.track(in, false)
	defer p.track(out, false)
	done := make(chan struct{}, 2)
	go p.copy(out, in, silences, done)
	go p.copy(in, out, deafens, done)
	<-done
	_ = out.Close()
	_ = in.Close()
	<-done
}

// copy passes bytes on; those that fall silent are lost for good, as behind a
// partition whose sender does not send them again.
func (p *proxy) copy(to, from net.Conn, lossy mode, done chan<- struct{}) {
	buffer := make([]byte, 32<<10)
	lost := false
	for {
		n, err := from.Read(buffer)
		m := p.now()
		lost = lost || m == silences || m == lossy
		if m == delays {
			time.Sleep(proxyDelay)
		}
		if n > 0 && !lost {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				break
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
