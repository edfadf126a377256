package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

const (
	// lossSlack is how soon after its last byte a request that no endpoint has run may
	// cross the close of its connection.
	lossSlack = 200 * time.Millisecond
	// limitSlack is how long before its time limit a request may end.
	limitSlack = 100 * time.Millisecond
	// explainedLosses is for how many lost requests the log is searched.
	explainedLosses = 20
	// reuseShare is the part of the idle limit for which callers may reuse a connection.
	reuseShare = 0.8
)

type (
	// losses records requests that a node had read and that ended without a complete
	// response.
	losses struct {
		mu     sync.Mutex
		limits []limitsAt
		// silent are the requests whose endpoints were silent.
		silent map[string]bool
		lost   []loss
		// excused counts the others that ended so, by the reason why they might.
		excused map[string]int
	}

	// loss is a request that ended without a complete response.
	loss struct {
		id, node string
		after    time.Duration
		what     string
	}
)

func newLosses() *losses { return &losses{silent: map[string]bool{}, excused: map[string]int{}} }

// recordLimits records the limits of a configuration.
func (l *losses) recordLimits(c *deployment.Config, at time.Time) {
	timeouts := map[string]time.Duration{}
	for _, r := range c.Routes {
		timeouts[r.Name] = r.Timeout
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits = append(l.limits, limitsAt{from: at, timeouts: timeouts, idle: c.Limits.IdleTimeout})
}

// since returns the limits that were in force at some time since then; the mutex must be
// held.
func (l *losses) since(t time.Time) []limitsAt {
	first := 0
	for i, limits := range l.limits {
		if limits.from.Before(t) {
			first = i
		}
	}
	return l.limits[first:]
}

// shortest returns the shortest timeout of a route that may apply to a request.
func (l *losses) shortest(route string, sent time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	shortest := callerTimeout
	for _, limits := range l.since(sent.Add(-limitsKept)) {
		if d := limits.timeouts[route]; d > 0 {
			shortest = min(shortest, d)
		}
	}
	return shortest
}

// mayReuse reports whether callers may reuse a connection that has been idle for a time.
func (l *losses) mayReuse(idle time.Duration, sent time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	shortest := time.Hour
	for _, limits := range l.since(sent.Add(-applyBound)) {
		shortest = min(shortest, limits.idle)
	}
	return float64(idle) <= reuseShare*float64(shortest)
}

// recordSilent records a request whose endpoint is silent.
func (l *losses) recordSilent(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent[id] = true
}

// checkLoss records a request that its node has read and that ended without a complete
// response, unless it might.
func (s *soak) checkLoss(addr netip.AddrPort, route, id string, timeout time.Duration, a answer) {
	i := slices.IndexFunc(s.nodes, func(n *node) bool { return n.Callers() == addr })
	if a.err == nil || i < 0 {
		return
	}
	n, now := s.nodes[i], time.Now()
	lost := loss{id: id, node: fmt.Sprintf("%s (start %d)", n.Node, n.Starts()), after: now.Sub(a.sent)}
	runs := s.ledger.runsOf(id)
	lost.what = fmt.Sprintf("status %d, %d bytes, %d runs, %v", a.status, len(a.body), len(runs), a.err)
	s.ledger.losses.record(lost, s.excuse(n, route, id, timeout, a, runs))
}

// excuse returns why a request might end without a complete response, empty if it might
// not: its node had not read it, its endpoint broke off, its time was over, or the node
// was disturbed.
func (s *soak) excuse(n *node, route, id string, timeout time.Duration, a answer, runs []run) string {
	now := time.Now()
	switch unread := a.status == 0 && len(runs) == 0; {
	case a.status == 0 && a.wrote.IsZero():
		return "not written"
	case now.Sub(a.sent) >= min(timeout, s.ledger.losses.shortest(route, a.sent))-limitSlack:
		return "time over"
	case unread && (!s.config.Timed || now.Sub(a.wrote) <= lossSlack):
		return "crossed the close"
	case unread && !s.ledger.losses.mayReuse(a.idle, a.sent):
		return "idle too long"
	case s.brokenOff(id, runs, a.sent):
		return "endpoint broke off"
	case n.disturbedSince(a.sent.Add(-recoveryTime)):
		return "node disturbed"
	case n.callerProxy.disturbedSince(a.sent) || n.egress.disturbedSince(a.sent):
		return "node cut off"
	}
	return ""
}

// brokenOff reports whether an endpoint that ran a request broke off its response, ended
// or was cut off.
func (s *soak) brokenOff(id string, runs []run, sent time.Time) bool {
	for _, r := range runs {
		if r.endpoint.standIn.BrokeOff(id) || r.endpoint.proxy.disturbedSince(sent) {
			return true
		}
	}
	return s.ledger.endless.has(id)
}

// runsOf returns the runs of a request so far.
func (l *ledger) runsOf(id string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.runs[id]...)
}

// record records a request that ended without a complete response, and why it might.
func (l *losses) record(lost loss, excuse string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if excuse != "" {
		l.excused[excuse]++
		return
	}
	l.lost = append(l.lost, lost)
}

// report returns how many requests were silent, and how many were lost.
func (l *losses) report() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	silent := 0
	for _, lost := range l.lost {
		if l.silent[lost.id] {
			silent++
		}
	}
	return fmt.Sprintf("%d requests at silent endpoints; %d lost, %d of them at silent endpoints; excused %v", len(l.silent), len(l.lost), silent, l.excused)
}

// check returns a violation for each lost request, with the last line of a node's log on
// why it ended.
func (l *losses) check(folder string) (broken []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	causes := map[string]string{}
	for _, lost := range l.lost[:min(len(l.lost), explainedLosses)] {
		causes[lost.id] = "no line"
	}
	findCauses(folder, causes)
	for _, lost := range l.lost {
		silent := ""
		if l.silent[lost.id] {
			silent = ", silent endpoint"
		}
		broken = append(broken, fmt.Sprintf("%s at %s ended without a complete response after %v (%s%s): %s", lost.id, lost.node, lost.after.Round(time.Millisecond), lost.what, silent, causes[lost.id]))
	}
	return broken
}

// findCauses sets the last line on each request in the nodes' logs, preferably one that
// refuses it.
func findCauses(folder string, causes map[string]string) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.log"))
	if err != nil || len(causes) == 0 {
		return
	}
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			continue
		}
		lines := bufio.NewScanner(f)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			var line struct{ Event, Request string }
			if json.Unmarshal(lines.Bytes(), &line) != nil {
				continue
			}
			old, lost := causes[line.Request]
			if lost && (line.Event == "refused" || !strings.Contains(old, `"refused"`)) {
				causes[line.Request] = filepath.Base(path) + " " + lines.Text()
			}
		}
		_ = f.Close()
	}
}
