// Package crash finds requests that end the endpoints that run them.
//
// Such a request is sent again by its caller and by nodes that retry it, and ends one
// endpoint after another. Nodes count by request the endpoints that ended while they
// ran it, and report them to each other; after three the request is isolated: no node
// sends it.
//
// A connection that breaks is no endpoint that ended: endpoints break off answers,
// links are reset, nodes are cut off. If that counted, a request that many callers
// send alike would be refused although nothing is wrong with it. So a broken run
// counts once the endpoint refuses connections while another one of its service
// accepts them, or another process has started at its address, and no longer counts
// when the request was served since or the platform still lists the endpoint.
package crash

import (
	"math/rand/v2"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/decision"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

const (
	// upkeepInterval is how often records are compared with the platform's list of
	// endpoints and old ones are forgotten.
	upkeepInterval = time.Second
	// freshFor is how old the list of endpoints may be for that.
	freshFor = 2 * time.Second

	// sourceSelf is the logged source of a crash that this node saw.
	sourceSelf = "self"
)

type (
	// Deployment is the node's view of the deployment.
	Deployment interface {
		Snapshot() *deployment.Snapshot
		// Age returns how long ago the store last answered, and whether it ever did.
		Age() (time.Duration, bool)
		// Lapsing returns how much longer the list of endpoints may be the result of
		// a store outage.
		Lapsing() time.Duration
	}

	// Config configures a Tracker.
	Config struct {
		Prober     Prober
		Deployment Deployment
		Metrics    *Metrics
		Log        *decision.Log
	}

	// Tracker counts the endpoints that ended under each request. It is safe for
	// concurrent use.
	Tracker struct {
		config   Config
		checks   checks
		mu       sync.Mutex
		records  *Records
		unproven *unproven
		upkeepAt time.Time
	}

	// run is a request's run at an endpoint.
	run struct {
		fingerprint uint64
		start       deployment.Start
		addr        netip.AddrPort
	}
)

// NewTracker returns a Tracker without records.
func NewTracker(c Config) *Tracker {
	if c.Metrics == nil {
		c.Metrics = NewMetrics()
	}
	return &Tracker{
		config: c, checks: checks{prober: c.Prober, by: map[deployment.Start]*check{}},
		records: NewRecords(RecordsConfig{Draw: rand.Float64}), unproven: newUnproven(),
	}
}

// Broke records that the endpoint closed the connection of a run, and reports whether
// it has ended. It asks the endpoint and others, for checkTimeout at most.
func (t *Tracker) Broke(fingerprint uint64, e *deployment.Endpoint) bool {
	start := e.Start()
	t.addUnproven(run{fingerprint: fingerprint, start: start, addr: e.Addr}, restartTime)
	a := t.checks.ask(e, t.config.Deployment.Snapshot().Endpoints[e.Service])
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	ended := a.refused && (a.reached || t.ranAtAll(fingerprint, a.refusing))
	t.config.Metrics.checked(ended)
	switch {
	case !ended:
	case a.reached:
		t.ended(now, start)
	default:
		for _, s := range append(a.refusing, start) {
			t.add(now, Report{Fingerprint: fingerprint, Endpoint: s.Key()}, sourceSelf)
		}
	}
	return ended
}

// ranAtAll reports whether runs of a request have lately broken at all of some
// endpoints. If none of a service's endpoints accepts connections, only such a request
// can have ended them; otherwise it is the way there that is broken.
func (t *Tracker) ranAtAll(fingerprint uint64, starts []deployment.Start) bool {
	for _, s := range starts {
		if !t.unproven.has(fingerprint, s) && !t.records.Has(fingerprint, s.Key()) {
			return false
		}
	}
	return true
}

// Silent records that a run was given up at an endpoint that sent nothing more. It
// counts if the endpoint turns out to have ended then.
func (t *Tracker) Silent(fingerprint uint64, e *deployment.Endpoint) {
	t.addUnproven(run{fingerprint: fingerprint, start: e.Start(), addr: e.Addr}, restartTime)
}

// Abandoned records that a run was given up because its caller left. It counts if
// the endpoint ends just then.
func (t *Tracker) Abandoned(fingerprint uint64, e *deployment.Endpoint) {
	t.addUnproven(run{fingerprint: fingerprint, start: e.Start(), addr: e.Addr}, abandonedTime)
}

// Ended records that an endpoint's process is no longer there.
func (t *Tracker) Ended(start deployment.Start) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended(time.Now(), start)
}

// Served records that a request was served whole: it crashes nothing.
func (t *Tracker) Served(fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n := t.records.Served(time.Now(), fingerprint); n > 0 {
		t.config.Log.Event("crash.cleared", decision.Fields{"print": printText(fingerprint), "crashes": n})
	}
}

// Isolated returns for how long a request is isolated, 0 if it is not.
func (t *Tracker) Isolated(fingerprint uint64) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.records.Isolated(time.Now(), fingerprint)
}

// Recent returns what this node has learned after since, for the other nodes. It is
// called for each heartbeat, and does the upkeep of the records.
func (t *Tracker) Recent(now, since time.Time) News {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.upkeepAt) >= upkeepInterval {
		t.upkeepAt = now
		t.upkeep(now)
	}
	return t.records.Recent(now, since)
}

// Known returns the crashes of suspected requests, for nodes that may have missed
// them.
func (t *Tracker) Known(now time.Time) News {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.records.Known(now)
}

// Add adds what another node reports; source is its name.
func (t *Tracker) Add(now time.Time, n News, source string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range n.Cleared {
		t.records.AddCleared(now, k)
	}
	for _, k := range n.Crashes {
		t.add(now, k, source)
	}
}

// List returns the number of crashes of each isolated request, for operators.
func (t *Tracker) List(now time.Time) map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := map[string]int{}
	for fingerprint, n := range t.records.List(now) {
		list[printText(fingerprint)] = n
	}
	return list
}

func (t *Tracker) addUnproven(r run, keep time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unproven.add(time.Now(), r, keep)
}

// ended counts the runs that broke shortly before their endpoint was found to have
// ended.
func (t *Tracker) ended(now time.Time, start deployment.Start) {
	for _, fingerprint := range t.unproven.take(now, start) {
		t.add(now, Report{Fingerprint: fingerprint, Endpoint: start.Key()}, sourceSelf)
	}
}

func (t *Tracker) add(now time.Time, k Report, source string) {
	crashes, added := t.records.Add(now, k, source == sourceSelf)
	if !added {
		return
	}
	t.config.Metrics.crashed(source == sourceSelf)
	if source != sourceSelf && crashes < suspected {
		return
	}
	f := decision.Fields{"print": printText(k.Fingerprint), "endpoint": k.Endpoint, "crashes": crashes, "source": source, "age_ms": k.Age.Milliseconds()}
	if isolated := t.records.Isolated(now, k.Fingerprint); isolated > 0 {
		f["isolated_ms"] = isolated.Milliseconds()
	}
	t.config.Log.Event("crash", f)
}

// upkeep forgets old records, and compares newer ones with the list of endpoints.
func (t *Tracker) upkeep(now time.Time) {
	t.records.Expire(now)
	snap := t.config.Deployment.Snapshot()
	for _, start := range t.unproven.replaced(now, snap) {
		t.ended(now, start)
	}
	if age, known := t.config.Deployment.Age(); !known || age > freshFor || t.config.Deployment.Lapsing() > 0 || !t.records.Unverified(now) {
		return
	}
	listed := map[uint32]bool{}
	for _, service := range snap.Endpoints {
		for _, e := range service {
			listed[e.Start().Key()] = !e.Replaced
		}
	}
	t.records.Verify(now, func(endpoint uint32) bool { return listed[endpoint] })
}

// printText returns a request's fingerprint as logs show it.
func printText(fingerprint uint64) string { return strconv.FormatUint(fingerprint, 36) }
