package http1

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/periodic"
)

const (
	// defaultIdle is how long an idle connection is kept if the endpoint does not
	// say: a little under the five seconds that many servers keep one.
	defaultIdle = 4 * time.Second
	// MaxIdle bounds how long an idle connection is kept if the endpoint does say.
	MaxIdle = 30 * time.Second
	// defaultMaxIdleConns is how many idle connections are kept to one endpoint if
	// the request does not say.
	defaultMaxIdleConns = 16
	// After a reused connection has broken, connections may be idle for no more
	// than idleLimitShare of its idle time. That holds for idleLimitTTL, which is as
	// long as an endpoint's own limit may be. A break after less than minIdleLimit
	// is attributed to other causes.
	idleLimitShare = 0.5
	minIdleLimit   = 50 * time.Millisecond
	idleLimitTTL   = MaxIdle
	// pruneInterval is how often old idle connections are closed.
	pruneInterval = 2 * time.Second
)

type (
	// PoolConfig holds the settings of a Pool.
	PoolConfig struct {
		// RequestID is the header in which a response repeats its request's ID.
		RequestID string
		// Opened is called for each new connection; it may be nil.
		Opened func()
		// Dialer opens connections; nil is NewDialer with ConnectTimeout.
		Dialer Dialer
	}

	// Dialer opens TCP connections.
	Dialer interface {
		DialContext(ctx context.Context, network, address string) (net.Conn, error)
	}

	// Pool keeps idle connections to endpoints.
	Pool struct {
		config    PoolConfig
		mu        sync.Mutex
		idleConns map[peer][]*conn
		// idleLimit is how long connections may be idle, until idleLimitUntil.
		idleLimit      time.Duration
		idleLimitUntil time.Time
		cancel         context.CancelFunc
		running        sync.WaitGroup
	}

	// peer is one process at an address.
	//
	// A restarted process, or another one, may use an address to which idle
	// connections are kept. What is sent on one of those is lost.
	peer struct {
		addr    netip.AddrPort
		process uint32
	}
)

// NewPool returns a pool without connections.
func NewPool(c PoolConfig) *Pool {
	if c.Dialer == nil {
		c.Dialer = NewDialer(DialerConfig{Timeout: ConnectTimeout})
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &Pool{config: c, idleConns: map[peer][]*conn{}, cancel: cancel}
	p.running.Go(func() { periodic.Run(ctx, pruneInterval, p.prune) })
	return p
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.cancel()
	p.running.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	for to, list := range p.idleConns {
		closeAll(list)
		delete(p.idleConns, to)
	}
}

// take returns the most recently used connection if it has been idle for less than
// the given time, otherwise nil.
func (p *Pool) take(from peer, idle time.Duration) *conn {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.idleLimitUntil) {
		idle = min(idle, p.idleLimit)
	}
	list := p.idleConns[from]
	for len(list) > 0 {
		c := list[len(list)-1]
		c.idleFor = now.Sub(c.lastUsed)
		if c.idleFor >= idle {
			return nil
		}
		list = list[:len(list)-1]
		p.idleConns[from] = list
		if c.usable(now) {
			return c
		}
		_ = c.Close()
	}
	return nil
}

// lowerIdleLimit reacts to a reused connection that broke before any response.
//
// Endpoints may drop idle connections sooner than they say, and without notice;
// whatever is sent next is reset, and an at-most-once request is lost. After the
// first loss, connections may be idle for less time.
func (p *Pool) lowerIdleLimit(idleFor time.Duration) {
	if idleFor < minIdleLimit {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	limit := max(time.Duration(idleLimitShare*float64(idleFor)), minIdleLimit)
	if now.Before(p.idleLimitUntil) {
		limit = min(limit, p.idleLimit)
	}
	p.idleLimit, p.idleLimitUntil = limit, now.Add(idleLimitTTL)
}

func (p *Pool) open(ctx context.Context, addr netip.AddrPort) (*conn, error) {
	if p.config.Opened != nil {
		p.config.Opened()
	}
	return dial(ctx, p.config.Dialer, addr)
}

// put returns a connection to the pool after a complete exchange, if fewer than
// maxConns are idle.
func (p *Pool) put(to peer, c *conn, maxConns int) {
	c.lastUsed = time.Now()
	c.used = true
	if !c.clean() {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idleConns[to]) >= maxConns {
		_ = c.Close()
		return
	}
	p.idleConns[to] = append(p.idleConns[to], c)
}

func (p *Pool) prune(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for to, list := range p.idleConns {
		var usable []*conn
		for _, c := range list {
			if c.usable(now) {
				usable = append(usable, c)
				continue
			}
			_ = c.Close()
		}
		if len(usable) == 0 {
			delete(p.idleConns, to)
			continue
		}
		p.idleConns[to] = usable
	}
}

func closeAll(list []*conn) {
	for _, c := range list {
		_ = c.Close()
	}
}
