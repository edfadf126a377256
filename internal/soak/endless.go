package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"bulrushhinge.example/bulrushhinge/platform/standin"
)

const (
	// endlessRate is how many bytes a second are sent without end in all, over at most
	// endlessConnections.
	endlessRate        = 8 << 20
	endlessConnections = 8
	// endlessLimit is how many bytes that are no answer a node may read, and
	// endlessUnread how many may be on their way to it, at most.
	endlessLimit  = 2 << 20
	endlessUnread = 1 << 20
	// endlessBound is how soon after that it must have closed the connection, and
	// endlessLongest how long the endpoint goes on.
	endlessBound   = 2 * time.Second
	endlessLongest = 12 * time.Second
	// endlessTime is how long endpoints begin responses without end, at most, and
	// mostEndless how many endpoints do at once.
	endlessTime = 5 * time.Second
	mostEndless = 6
	// mayBodyBytes is how many bytes of a body callers read.
	mayBodyBytes = 1 << 20
)

// endless limits and records responses without end.
type endless struct {
	mu   sync.Mutex
	next time.Time
	open int
	// ids are the requests that have got such responses.
	ids    map[string]bool
	counts map[standin.EndlessKind]int
	most   int
	longer time.Duration
	broken []string
}

func newEndless() *endless {
	return &endless{ids: map[string]bool{}, counts: map[standin.EndlessKind]int{}}
}

// begin reports whether a response may be without end.
func (n *endless) begin(id string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.open >= endlessConnections {
		return false
	}
	n.open++
	n.ids[id] = true
	return true
}

// pace bounds the rate of all responses together.
func (n *endless) pace(bytes int) {
	n.mu.Lock()
	now := time.Now()
	if n.next.Before(now) {
		n.next = now
	}
	at := n.next
	n.next = at.Add(time.Duration(bytes) * time.Second / endlessRate)
	n.mu.Unlock()
	time.Sleep(time.Until(at))
}

// ended records a response without end; calm says that its node was not disturbed. A
// body or its events may be an answer, as long as the request has time.
func (n *endless) ended(e standin.EndlessResponse, calm bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.open--
	n.counts[e.Kind]++
	if e.Kind == standin.EndlessBody {
		return
	}
	n.most, n.longer = max(n.most, e.Written), max(n.longer, e.Past)
	if e.Past > 0 && (!e.Closed || calm && e.Past > endlessBound) {
		n.broken = append(n.broken, fmt.Sprintf("%s: %d bytes without end (%s) were read, and the connection was open %v after the limit (closed %t)", e.ID, e.Written, e.Kind, e.Past, e.Closed))
	}
}

// has reports whether a request has got a response without end.
func (n *endless) has(id string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ids[id]
}

// report returns how often endpoints sent bytes without end, empty if none did.
func (n *endless) report() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.counts) == 0 {
		return ""
	}
	return fmt.Sprintf("responses without end %v, %d bytes at most, open %v after the limit", n.counts, n.most, n.longer)
}

func (n *endless) check() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.broken
}

// sendEndless lets several endpoints send bytes without end.
func (s *soak) sendEndless(ctx context.Context, r *rand.Rand) string {
	kinds := standin.EndlessKinds()
	var names []string
	var group sync.WaitGroup
	for range 1 + r.IntN(mostEndless) {
		e, k := s.world.pickBusy(r), kinds[r.IntN(len(kinds))]
		if e == nil {
			continue
		}
		names = append(names, fmt.Sprintf("%s %s", e.id, k))
		d := time.Duration(r.Int64N(int64(endlessTime)))
		group.Go(func() {
			e.standIn.SetEndless(&standin.Endless{
				Kind: k, Begin: s.ledger.endless.begin, Pace: s.ledger.endless.pace, Limit: endlessLimit + endlessUnread, Longest: endlessLongest,
				Ended: func(end standin.EndlessResponse) {
					since := time.Now().Add(-end.Past)
					s.ledger.endless.ended(end, s.timedCalm(e, since))
				},
			})
			defer e.standIn.SetEndless(nil)
			sleep(ctx, d)
		})
	}
	group.Wait()
	return strings.Join(names, ", ")
}

// timedCalm reports whether times are checked, and no node and not the endpoint was
// disturbed since then.
func (s *soak) timedCalm(e *endpoint, since time.Time) bool {
	calm := s.config.Timed && !e.proxy.disturbedSince(since)
	for _, n := range s.nodes {
		calm = calm && !n.disturbedSince(since) && !n.egress.disturbedSince(since)
	}
	return calm
}
