// Package reach finds out whether this node reaches the endpoints of each service.
//
// A node may lose its paths to all endpoints of a service although other nodes reach
// them. Judged one by one, each endpoint then seems to have failed. So after a failed
// attempt some others of the service are asked for a connection: if none accepts one,
// the node does not reach the service, until one does again. Whether the endpoints
// are down or the node is cut off from them shows in what other nodes reach.
package reach

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/decision"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/http1"
)

const (
	// minCheckInterval is the shortest time between two checks of a service that is
	// reached.
	minCheckInterval = 500 * time.Millisecond
	// retryInterval is the mean time between two checks of one that is not. It is
	// drawn from half of that to one and a half: nodes that lose their paths together
	// check at different times.
	retryInterval = 300 * time.Millisecond
	// sampleSize is how many endpoints have to fail before a service counts as not
	// reached, and retrySize how many are asked in each later check.
	sampleSize = 4
	retrySize  = 2
)

type (
	// Prober opens connections.
	Prober interface {
		// Probe opens a connection to an address and closes it again.
		Probe(ctx context.Context, addr netip.AddrPort) http1.ProbeResult
	}

	// Deployment is the node's view of the deployment.
	Deployment interface{ Snapshot() *deployment.Snapshot }

	// Config configures a Tracker.
	Config struct {
		Prober     Prober
		Deployment Deployment
		// Changed is called after a service is reached no longer, or again; it may be
		// nil.
		Changed func(service string, reached bool)
		Metrics *Metrics
		Log     *decision.Log
	}

	// Tracker knows which services this node does not reach. It is safe for concurrent
	// use.
	Tracker struct {
		config  Config
		ctx     context.Context
		cancel  context.CancelFunc
		running sync.WaitGroup
		mu      sync.Mutex
		by      map[string]*service
	}

	service struct {
		// checking says that a check runs, checkedAt when the last one ended.
		checking  bool
		checkedAt time.Time
		// openedAt is when a connection to an endpoint was last opened.
		openedAt time.Time
		// lostAt is since when it is not reached; zero if it is.
		lostAt time.Time
	}
)

// NewTracker returns a Tracker to which all services are reached.
func NewTracker(c Config) *Tracker {
	if c.Metrics == nil {
		c.Metrics = NewMetrics()
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Tracker{config: c, ctx: ctx, cancel: cancel, by: map[string]*service{}}
}

// Close ends all checks.
func (t *Tracker) Close() {
	t.cancel()
	t.running.Wait()
}

// Opened records that a connection to an endpoint of a service was opened.
func (t *Tracker) Opened(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.service(name).openedAt = time.Now()
}

// Failed records that an attempt at an endpoint, begun at a time, could not connect or
// got no answer. Unless another connection was opened since, others are asked.
func (t *Tracker) Failed(e *deployment.Endpoint, began time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(e.Service)
	if s.checking || s.openedAt.After(began) || time.Since(s.checkedAt) < minCheckInterval || t.ctx.Err() != nil {
		return
	}
	s.checking = true
	t.running.Go(func() { t.check(e, s) })
}

// Reaches reports whether this node reaches a service.
func (t *Tracker) Reaches(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.by[name]
	return s == nil || s.lostAt.IsZero()
}

// Lost returns since when this node does not reach services, by their names.
func (t *Tracker) Lost() map[string]time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	lost := map[string]time.Time{}
	for name, s := range t.by {
		if !s.lostAt.IsZero() {
			lost[name] = s.lostAt
		}
	}
	return lost
}

func (t *Tracker) service(name string) *service {
	s := t.by[name]
	if s == nil {
		s = &service{}
		t.by[name] = s
	}
	return s
}

// check asks endpoints until one accepts a connection.
func (t *Tracker) check(failed *deployment.Endpoint, s *service) {
	began := time.Now()
	asked, reached := t.confirm(failed)
	for !t.record(failed.Service, s, asked, reached, began) {
		if !t.wait() {
			return
		}
		list := t.candidates(failed.Service)
		asked, reached = t.probe(list[:min(len(list), retrySize)])
	}
}

// confirm asks one endpoint other than a failed one, and if that fails too, more of
// them. It returns the IDs of those that did not accept a connection.
func (t *Tracker) confirm(failed *deployment.Endpoint) (asked []string, reached bool) {
	list := t.candidates(failed.Service)
	others := slices.DeleteFunc(slices.Clone(list), func(e *deployment.Endpoint) bool { return e.Addr == failed.Addr })
	if len(others) > 0 {
		if asked, reached = t.probe(others[:1]); reached || len(others) == 1 {
			return asked, reached
		}
		more, reached := t.probe(others[1:min(len(others), sampleSize-1)])
		return append(asked, more...), reached
	}
	return t.probe(list)
}

// probe asks endpoints at the same time and reports whether one accepted a connection.
// A service without endpoints counts as reached: there is no path to it to be lost.
func (t *Tracker) probe(list []*deployment.Endpoint) (asked []string, reached bool) {
	if len(list) == 0 {
		return nil, true
	}
	results := make(chan bool, len(list))
	for _, e := range list {
		asked = append(asked, e.ID)
		t.running.Go(func() { results <- t.config.Prober.Probe(t.ctx, e.Addr) == http1.Accepted })
	}
	for range list {
		if <-results {
			return asked, true
		}
	}
	return asked, false
}

// record records the result of a check and reports whether the service is reached.
func (t *Tracker) record(name string, s *service, asked []string, reached bool, began time.Time) bool {
	t.mu.Lock()
	now, lostAt := time.Now(), s.lostAt
	s.checkedAt = now
	switch {
	case reached:
		s.checking, s.lostAt = false, time.Time{}
	case lostAt.IsZero():
		s.lostAt = now
	}
	t.mu.Unlock()
	if reached == lostAt.IsZero() {
		return reached
	}
	f := decision.Fields{"service": name, "asked": asked}
	if reached {
		f["lost_ms"] = now.Sub(lostAt).Milliseconds()
		t.config.Metrics.lostFor.Update(now.Sub(lostAt).Seconds())
		t.config.Log.Event("service.reached", f)
	} else {
		f["took_ms"] = now.Sub(began).Milliseconds()
		t.config.Metrics.lost.Inc()
		t.config.Log.Event("service.lost", f)
	}
	if t.config.Changed != nil {
		t.config.Changed(name, reached)
	}
	return reached
}

// candidates returns the endpoints that may be asked, in random order: those that take
// requests if there are any.
func (t *Tracker) candidates(name string) []*deployment.Endpoint {
	var open, all []*deployment.Endpoint
	for _, e := range t.config.Deployment.Snapshot().Endpoints[name] {
		if e.Replaced {
			continue
		}
		all = append(all, e)
		if e.AcceptsRequests() {
			open = append(open, e)
		}
	}
	if len(open) > 0 {
		all = open
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}

// wait waits until the next check, and reports false if the tracker is closed.
func (t *Tracker) wait() bool {
	timer := time.NewTimer(retryInterval/2 + rand.N(retryInterval))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-t.ctx.Done():
		return false
	}
}
