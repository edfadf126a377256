package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/platform/standin"
)

// Sizes and limits of the service whose slots are few enough that it has an owner.
const (
	serviceScarce   = "scarce"
	scarceEndpoints = 3
	scarceSlots     = 2
	scarceQueue     = 6
	scarceWork      = 50 * time.Millisecond
	// scarceCapacity is how many requests a second the service completes.
	scarceCapacity = scarceEndpoints * scarceSlots * int(time.Second/scarceWork)
	// usualDemand is the requests a second that callers send, as a multiple of the
	// capacity, and shortDemand that in a shortage, which lasts shortTime.
	usualDemand = 0.5
	shortDemand = 1.25
	shortTime   = 4 * time.Second
	// scarceDeadline is when callers of the service give up, as their requests say,
	// and scarcePatience how much longer they wait to see whether they get an answer.
	scarceDeadline = time.Second
	scarcePatience = 3 * time.Second
	// heldBound is how long after its deadline a request must have ended.
	heldBound = 500 * time.Millisecond
	// urgentBound is how far the served share of urgent requests may be below that of
	// less urgent ones in the shortages of a run, if urgentSample of each were sent:
	// of 200, with four fifths served, the bound is 2.5 standard deviations of the
	// difference of two equal shares; of 100, it is 1.8.
	urgentBound  = 0.1
	urgentSample = 200
	// lateCallers is how late the callers may be before they skip requests: a node that
	// does not resolve addresses must not cause a burst afterwards.
	lateCallers = 200 * time.Millisecond
	// ownerInterval is how often the traffic of the nodes to the service is compared,
	// ownerShare the part of it that an owner has, and ownerBytes the least traffic
	// that is compared.
	ownerInterval = 300 * time.Millisecond
	ownerShare    = 0.8
	ownerBytes    = 1000
	// unevenTime is how long endpoints are uneven, at most.
	unevenTime = 6 * time.Second
)

// unevenSpeed slows down a third of the endpoints, others after each period.
var unevenSpeed = standin.Uneven{Share: 0.34, Times: 2.5, Period: 600 * time.Millisecond}

// scarceKinds are the kinds of requests of the service; the first is the most urgent.
var scarceKinds = []scarceKind{
	{route: "scarce/urgent", kind: safe, share: 0.4},
	{route: "scarce/usual", kind: safe, share: 0.4, priority: 1},
	{route: "scarce/once", kind: once, share: 0.2, priority: 1},
}

type (
	// scarceKind is a kind of request, its share of all and its route's priority.
	scarceKind struct {
		route    string
		kind     kind
		share    float64
		priority int
	}

	// scarce records what callers of the service see, and which node is its owner.
	scarce struct {
		mu sync.Mutex
		// shortages is how many shortages last.
		shortages int
		// calm are the requests that were sent in shortages while no node was
		// disturbed, by route.
		calm map[string]tally
		// sent is where and when each request was sent.
		sent map[string]sentTo
		// owner is the node that sent most requests to the service recently, and hits are
		// the faults of owners, by node.
		owner *node
		hits  map[netip.AddrPort]ownerHits
		// samples is how often the traffic was compared, owned how often one node had
		// an owner's share, and owners the nodes that ever had.
		samples, owned int
		owners         map[string]bool
	}

	// ownerHits are the faults that hit a node as an owner: how many, how many of them
	// last, and when the last one began or ended.
	ownerHits struct {
		count, lasting int
		last           time.Time
	}

	// sentTo is the node to which a request was sent, and when.
	sentTo struct {
		node netip.AddrPort
		at   time.Time
	}

	// tally counts requests and those that were served.
	tally struct{ asked, served int }
)

func newScarce() *scarce {
	return &scarce{calm: map[string]tally{}, sent: map[string]sentTo{}, hits: map[netip.AddrPort]ownerHits{}, owners: map[string]bool{}}
}

// scarceRoutes returns the routes of the service.
func scarceRoutes() []deployment.Route {
	var list []deployment.Route
	for _, k := range scarceKinds {
		r := route(k.route, map[kind]deployment.Kind{safe: deployment.Idempotent, once: deployment.AtMostOnce}[k.kind], serviceScarce, 2)
		r.Priority, r.Timeout, r.Objective = k.priority, scarceDeadline, scarceDeadline/4
		list = append(list, r)
	}
	return list
}

// runScarce sends requests to the service until ctx ends, whether earlier ones were answered
// or not.
func (c *callers) runScarce(ctx context.Context, seed uint64) {
	var group sync.WaitGroup
	defer group.Wait()
	k := c.caller(rand.New(rand.NewPCG(seed, 2)))
	k.client = &http.Client{Transport: &http.Transport{DialContext: c.dial, MaxIdleConnsPerHost: 64}}
	k.patience = scarcePatience
	var unreached atomic.Bool
	for at := time.Now(); ctx.Err() == nil; {
		at = at.Add(time.Duration(k.random.ExpFloat64() / c.soak.scarce.demand() * float64(time.Second)))
		if time.Since(at) > lateCallers {
			at = time.Now()
		}
		time.Sleep(time.Until(at))
		if unreached.Swap(false) {
			k.expires = time.Time{}
		}
		addr, ok := k.address()
		if !ok {
			continue
		}
		q := drawScarce(k.random)
		group.Go(func() {
			if c.askScarce(ctx, k, addr, q) {
				unreached.Store(true)
			}
		})
	}
}

// drawScarce draws a kind of request by its share.
func drawScarce(r *rand.Rand) scarceKind {
	left := r.Float64()
	for _, k := range scarceKinds {
		if left -= k.share; left < 0 {
			return k
		}
	}
	return scarceKinds[len(scarceKinds)-1]
}

// askScarce sends one request, and reports whether the node was not reached.
func (c *callers) askScarce(ctx context.Context, k *caller, addr netip.AddrPort, q scarceKind) (unreached bool) {
	id := fmt.Sprintf("%s-%d", q.route[len("scarce/"):], c.next.Add(1))
	c.ledger.recordRequest(id, q.kind)
	short := c.soak.scarce.recordSent(id, addr, time.Now())
	a := k.send(ctx, addr, q.route, id, "body of "+id, scarceDeadline)
	if ctx.Err() != nil {
		a.abandoned, a.cut = true, false
	}
	c.ledger.recordAnswer(id, a)
	if ctx.Err() != nil {
		return false
	}
	if short && c.ledger.calm(a.sent) {
		c.soak.scarce.recordShort(q.route, a)
	}
	c.ledger.recordEnd(id, a)
	return a.status == 0
}

// demand returns how many requests a second callers send.
func (s *scarce) demand() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shortages > 0 {
		return shortDemand * float64(scarceCapacity)
	}
	return usualDemand * float64(scarceCapacity)
}

// recordSent records a request, and reports whether it is sent in a shortage.
func (s *scarce) recordSent(id string, node netip.AddrPort, at time.Time) (short bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent[id] = sentTo{node: node, at: at}
	return s.shortages > 0
}

// recordShort records the outcome of a request that was sent in a calm shortage.
func (s *scarce) recordShort(route string, a answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.calm[route]
	t.asked++
	if a.status == http.StatusOK && a.err == nil {
		t.served++
	}
	s.calm[route] = t
}

// short makes callers ask for more than the service can do.
func (s *soak) short(ctx context.Context) string {
	s.scarce.setShort(1)
	defer s.scarce.setShort(-1)
	sleep(ctx, shortTime)
	return fmt.Sprint(shortDemand, " times the capacity")
}

// calm reports whether no node has been disturbed since a time, and the recovery time
// before it.
func (l *ledger) calm(since time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.nodesUndisturbed(since, time.Now())
}

func (s *scarce) setShort(by int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shortages += by
}

// check returns a violation if urgent requests were served less often than less urgent
// ones.
func (s *scarce) check() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var broken []string
	urgent := s.calm[scarceKinds[0].route]
	for _, k := range scarceKinds[1:] {
		other := s.calm[k.route]
		if min(urgent.asked, other.asked) >= urgentSample && urgent.share() < other.share()-urgentBound {
			broken = append(broken, fmt.Sprintf("%d of %d urgent requests were served, but %d of %d of %s, in calm shortages", urgent.served, urgent.asked, other.served, other.asked, k.route))
		}
	}
	return broken
}

func (t tally) share() float64 { return float64(t.served) / float64(max(t.asked, 1)) }

// recordEnd checks that a request has ended in time.
func (l *ledger) recordEnd(id string, a answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if late := l.beyondDeadline(id, time.Now()); late > 0 {
		l.violation("%s ended %v after its deadline: %s", id, late, a.outcome())
	}
}

// beyondDeadline returns how long after its deadline a request ends or runs if that is
// longer than it may be, and 0 if it is not or if nodes were disturbed, other than the
// owner of the service by its own faults. A node that was disturbed itself may have got
// the request late, and does not know its age. The mutex must be held.
func (l *ledger) beyondDeadline(id string, now time.Time) time.Duration {
	q, hit := l.scarce.sentTo(id)
	if !l.timed || q.at.IsZero() || hit || !l.ownerAtMost(q.at, now) {
		return 0
	}
	if late := now.Sub(q.at) - scarceDeadline; late > heldBound {
		return late
	}
	return 0
}

// ownerAtMost reports whether no node was disturbed during a span or the recovery time
// before it, other than an owner by its own faults; the mutex must be held.
func (l *ledger) ownerAtMost(from, to time.Time) bool {
	var disturbs []span
	for _, list := range [][]span{l.unplanned, l.planned} {
		for _, s := range list {
			if !s.spares && !s.owner {
				disturbs = append(disturbs, s)
			}
		}
	}
	return !overlaps(disturbs, from.Add(-recoveryTime), to)
}

// sentTo returns where and when a request was sent, zero for one of another service, and
// whether a fault of an owner has hit that node since, or shortly before.
func (s *scarce) sentTo(id string) (q sentTo, hit bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q = s.sent[id]
	h := s.hits[q.node]
	return q, h.lasting > 0 || h.last.After(q.at.Add(-recoveryTime))
}
