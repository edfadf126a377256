package soak

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"bulrushhinge.example/bulrushhinge/platform/standin"
)

// handedOverLine and ownerField mark the log lines of requests that were handed over to
// an owner, and answeredField those that it answered.
const (
	handedOverLine = `"event":"handover"`
	ownerField     = `"owner":true`
	answeredField  = `"result":"answered"`
)

// unevenPhase is a time in which endpoints are uneven.
type unevenPhase struct {
	standin.Uneven
	began time.Time
}

// ownerArgs returns the nodes' arguments for owners.
func (c Config) ownerArgs() []string {
	if c.Owners == 0 {
		return nil
	}
	return []string{"--owners", fmt.Sprint(c.Owners), "--cost-order", "owned"}
}

// watchOwner determines the owner of the scarce service from the nodes' traffic to its
// endpoints, until ctx ends.
func (s *soak) watchOwner(ctx context.Context) {
	before := make([]int64, len(s.nodes))
	for sleep(ctx, ownerInterval) {
		var total, most int64
		var first *node
		for i, n := range s.nodes {
			now := n.egress.toScarce.Load()
			bytes := now - before[i]
			before[i] = now
			total += bytes
			if bytes > most {
				most, first = bytes, n
			}
		}
		if total >= ownerBytes {
			s.scarce.recordTraffic(first, float64(most)/float64(total))
		}
	}
}

// recordTraffic records the node that sent most to the service, and its share.
func (s *scarce) recordTraffic(n *node, share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.samples++
	s.owner = nil
	if share >= ownerShare {
		s.owner = n
		s.owned++
		s.owners[n.Node] = true
	}
}

// hitOwner lets a fault hit the node that owns the scarce service.
func (s *soak) hitOwner(fault func(*node)) string {
	s.scarce.mu.Lock()
	n := s.scarce.owner
	s.scarce.mu.Unlock()
	if n == nil {
		return "no owner"
	}
	s.scarce.recordHit(n, 1)
	fault(n)
	s.scarce.recordHit(n, -1)
	return n.Node
}

// recordHit records that a fault of an owner begins (1) or ends (-1).
func (s *scarce) recordHit(n *node, by int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.hits[n.Callers()]
	h.count += max(by, 0)
	h.lasting += by
	h.last = time.Now()
	s.hits[n.Callers()] = h
}

// pauseNode suspends a node for up to 4 s.
func (s *soak) pauseNode(ctx context.Context, r *rand.Rand, n *node) {
	s.ledger.notices.recordPause(n.Node)
	defer n.disturb(time.Now())()
	n.Signal(syscall.SIGSTOP)
	wait(ctx, r, 4*time.Second)
	n.Signal(syscall.SIGCONT)
	s.ledger.notices.recordPause(n.Node)
}

// unevenEndpoints makes endpoints slower for a time, others in each period.
func (s *soak) unevenEndpoints(ctx context.Context, r *rand.Rand) string {
	u := unevenPhase{Uneven: unevenSpeed, began: time.Now()}
	u.Seed = r.Uint64()
	s.world.uneven.Store(&u)
	wait(ctx, r, unevenTime)
	s.world.uneven.CompareAndSwap(&u, nil)
	return fmt.Sprintf("%v times as long", u.Times)
}

// slowdown returns the speed of an endpoint, or nil for services whose endpoints do not
// report it.
func (w *world) slowdown(service string, n int) func(time.Time) float64 {
	if service == serviceSmall || service == serviceTiny {
		return nil
	}
	return func(at time.Time) float64 {
		u := w.uneven.Load()
		if u == nil {
			return 1
		}
		return u.Slowdown(n, scarceEndpoints, max(at.Sub(u.began), 0))
	}
}

// countScarce counts the bytes that go to endpoints of the scarce service.
func (w *world) countScarce(e *egress) func(to net.Conn, n int) {
	return func(to net.Conn, n int) {
		if _, ok := w.scarceAddrs.Load(to.RemoteAddr().String()); ok {
			e.toScarce.Add(int64(n))
		}
	}
}

// report returns how far owners were exercised: by the traffic that endpoints saw, and
// by the nodes' own log lines.
func (s *scarce) report(folder string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	hits := 0
	for _, h := range s.hits {
		hits += h.count
	}
	calm := ""
	for _, k := range scarceKinds {
		calm += fmt.Sprintf(" %s %.3f of %d", k.route, s.calm[k.route].share(), s.calm[k.route].asked)
	}
	handed, answered := countLines(folder, handedOverLine, ownerField), countLines(folder, handedOverLine, ownerField, answeredField)
	text := fmt.Sprintf("%d requests handed over to owners, %d answered; one node sends in %d of %d samples, %d in all; owners hit %d times; in calm shortages%s",
		handed, answered, s.owned, s.samples, len(s.owners), hits, calm)
	if answered == 0 {
		text = "NO OWNER WAS EXERCISED: " + text
	}
	return text
}

// countLines counts the lines of the nodes' logs that contain all texts.
func countLines(folder string, texts ...string) int {
	paths, err := filepath.Glob(filepath.Join(folder, "*.log"))
	if err != nil {
		return 0
	}
	n := 0
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			continue
		}
		lines := bufio.NewScanner(f)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			if !slices.ContainsFunc(texts, func(t string) bool { return !strings.Contains(lines.Text(), t) }) {
				n++
			}
		}
		_ = f.Close()
	}
	return n
}
