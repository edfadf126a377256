package http1

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/periodic"
)

const (
	// defaultIdle is how long a connection is kept where the endpoint does not
	// say: a little under the five seconds that many servers keep one.
	defaultIdle = 4 * time.Second
	// MaxIdle bounds what an endpoint says.
	MaxIdle = 30 * time.Second
	// maxKept is how many idle connections are kept to one endpoint where the
	// request does not say.
	maxKept = 16
	// restShare is the part of a rest that was too long for which connections
	// may rest afterwards, and restMemory how long that holds: as long as an
	// endpoint's own word does. A break after less than leastRest is put down
	// to other causes.
	restShare  = 0.5
	leastRest  = 50 * time.Millisecond
	restMemory = MaxIdle
	// pruneInterval is how often old idle connections are closed.
	pruneInterval = 2 * time.Second
)

type (
	// PoolConfig is the settings of a Pool.
	PoolConfig struct {
		// RequestID is the header by which an answer names its request.
		RequestID string
		// Opened is called for each new connection; it may be nil.
		Opened func()
	}

	// Pool keeps connections to endpoints.
	Pool struct {
		config PoolConfig
		mu     sync.Mutex
		kept   map[peer][]*conn
		// rest is how long connections may rest, until the time given.
		rest      time.Duration
		restUntil time.Time
		cancel    context.CancelFunc
		running   sync.WaitGroup
	}

	// peer is one process at an address.
	//
	// A process that starts again, or another one, may be at an address to which
	// connections are kept. What is sent on one of those is lost.
	peer struct {
		addr    netip.AddrPort
		process uint32
	}
)

// NewPool returns a pool without connections.
func NewPool(c PoolConfig) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Pool{config: c, kept: map[peer][]*conn{}, cancel: cancel}
	p.running.Go(func() { periodic.Run(ctx, pruneInterval, p.prune) })
	return p
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.cancel()
	p.running.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	for to, list := range p.kept {
		closeAll(list)
		delete(p.kept, to)
	}
}

// take returns the connection that was used last, if it has been idle for less
// than a time, or nil.
func (p *Pool) take(from peer, idle time.Duration) *conn {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.restUntil) {
		idle = min(idle, p.rest)
	}
	list := p.kept[from]
	for len(list) > 0 {
		c := list[len(list)-1]
		c.rested = now.Sub(c.since)
		if c.rested >= idle {
			return nil
		}
		list = list[:len(list)-1]
		p.kept[from] = list
		if c.usable(now) {
			return c
		}
		_ = c.Close()
	}
	return nil
}

// forgotten learns from a kept connection that broke before any answer.
//
// Endpoints may forget idle connections sooner than they say, and without notice;
// whatever is sent next is reset, and a request that must run once is lost. After
// the first loss connections rest for less.
func (p *Pool) forgotten(rested time.Duration) {
	if rested < leastRest {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	limit := max(time.Duration(restShare*float64(rested)), leastRest)
	if now.Before(p.restUntil) {
		limit = min(limit, p.rest)
	}
	p.rest, p.restUntil = limit, now.Add(restMemory)
}

func (p *Pool) open(ctx context.Context, addr netip.AddrPort) (*conn, error) {
	if p.config.Opened != nil {
		p.config.Opened()
	}
	return dial(ctx, addr)
}

// keep takes a connection back after a clean exchange, if fewer than a number
// are kept.
func (p *Pool) keep(to peer, c *conn, most int) {
	c.since = time.Now()
	c.used = true
	if !c.quiet() {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.kept[to]) >= most {
		_ = c.Close()
		return
	}
	p.kept[to] = append(p.kept[to], c)
}

func (p *Pool) prune(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for to, list := range p.kept {
		var rest []*conn
		for _, c := range list {
			if c.usable(now) {
				rest = append(rest, c)
				continue
			}
			_ = c.Close()
		}
		if len(rest) == 0 {
			delete(p.kept, to)
			continue
		}
		p.kept[to] = rest
	}
}

func closeAll(list []*conn) {
	for _, c := range list {
		_ = c.Close()
	}
}
