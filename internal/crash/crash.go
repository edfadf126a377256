// Package crash finds requests that end the endpoints that run them.
//
// Such a request is sent again by its caller and by nodes that retry it, and ends one
// endpoint after another. Or it is a part of prompts that does, in requests no two of
// which are alike. So nodes count, by each of these features, the endpoints that ended
// while they ran such a request, and report them to each other; after three the feature
// is isolated: no node sends a request that has it. If several features have the same
// crashes, only one of them is blamed.
//
// A connection that breaks is no endpoint that ended: endpoints break off answers,
// links are reset, nodes are cut off. If that counted, a request that many callers
// send alike would be refused although nothing is wrong with it. So a broken run
// counts once the endpoint refuses connections while another one of its service
// accepts them, or another process has started at its address, and no longer counts
// when a request with the feature was served since or the platform still lists the
// endpoint.
//
// If all endpoints of a service refuse connections, no node can prove that. Runs that
// broke or were given up there are reported as unproven ends, which count once a second
// node is refused: three ends hold a feature until they are proven, or until a node is
// connected to the endpoint.
package crash

import (
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"slices"
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
		// Nodes returns how many nodes there are; nil means that this one does not ask
		// endpoints of which others report ends that are not proven.
		Nodes   func() int
		Metrics *Metrics
		Log     *decision.Log
	}

	// Tracker counts the endpoints that ended under each feature. It is safe for
	// concurrent use.
	Tracker struct {
		config   Config
		checks   checks
		mu       sync.Mutex
		records  *Records
		unproven *unproven
		contacts *contacts
		witness  witness
		upkeepAt time.Time
		// compared is the snapshot with which the broken runs were last compared.
		compared *deployment.Snapshot
	}

	// run is a request's run at an endpoint.
	run struct {
		// features are those of its request, the whole request first.
		features []Feature
		start    deployment.Start
		addr     netip.AddrPort
	}
)

// NewTracker returns a Tracker without records.
func NewTracker(c Config) *Tracker {
	if c.Metrics == nil {
		c.Metrics = NewMetrics()
	}
	t := &Tracker{
		config: c, checks: checks{prober: c.Prober, by: map[deployment.Start]*check{}},
		records: NewRecords(RecordsConfig{Draw: rand.Float64}), unproven: newUnproven(), contacts: newContacts(),
	}
	if c.Nodes != nil {
		t.startWitness()
	}
	return t
}

// Broke records that the endpoint closed the connection of a run, and returns whether
// it has ended. It asks the endpoint and others, for three times checkTimeout at most.
// The features are those of the run's request, the whole request first.
func (t *Tracker) Broke(features []Feature, e *deployment.Endpoint) bool {
	ended, _ := t.broke(features, e)
	return ended
}

// Closed records a response that ended with its connection, which does not show whether
// it is complete, and reports whether the endpoint has ended. If the endpoint accepts
// connections, the response was whole; it began at a time.
func (t *Tracker) Closed(features []Feature, e *deployment.Endpoint, began time.Time) bool {
	ended, accepts := t.broke(features, e)
	if accepts {
		t.Served(features, began)
		t.mu.Lock()
		defer t.mu.Unlock()
		t.unproven.remove(features[0], e.Start())
	}
	return ended
}

// broke records a run whose connection the endpoint has closed, and returns whether the
// endpoint has ended and whether it accepts connections.
func (t *Tracker) broke(features []Feature, e *deployment.Endpoint) (ended, accepts bool) {
	start := e.Start()
	if t.addUnproven(run{features: features, start: start, addr: e.Addr}, causeUnanswered, restartTime) {
		return true, false
	}
	a := t.checks.ask(e, t.config.Deployment.Snapshot().Endpoints[e.Service])
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if a.refused && a.reached {
		t.config.Metrics.checked(true)
		t.ended(now, start)
		return true, false
	}
	switch {
	case a.refused:
		t.unproven.explain(features[0], start, causeNoWitness)
		for _, other := range a.refusing {
			t.refused(now, other.Key(), true)
		}
		ended = t.endedAll(now, features, append(slices.Clone(a.unreached), start))
		t.refused(now, start.Key(), true)
	case a.accepted:
		t.unproven.explain(features[0], start, causeAccepted)
	}
	t.config.Metrics.checked(ended)
	return ended, a.accepted
}

// endedAll counts the features of which runs have recently broken at all of some
// endpoints, and reports whether there are any. If none of a service's endpoints accepts
// connections, only such a feature can have ended them; otherwise it is the way there
// that is broken.
func (t *Tracker) endedAll(now time.Time, features []Feature, starts []deployment.Start) bool {
	found := false
	for _, f := range features {
		if slices.ContainsFunc(starts, func(s deployment.Start) bool { return !t.unproven.has(f, s) && !t.records.Has(f.ID, s.Key()) }) {
			continue
		}
		found = true
		for _, s := range starts {
			t.add(now, Report{Feature: f, Endpoint: s.Key()}, sourceSelf)
		}
	}
	return found
}

// Silent records that a run was given up at an endpoint that sent nothing more. It
// counts if the endpoint turns out to have ended then.
func (t *Tracker) Silent(features []Feature, e *deployment.Endpoint) {
	t.addUnproven(run{features: features, start: e.Start(), addr: e.Addr}, causeSilent, restartTime)
}

// Abandoned records that a run was given up because its caller left. It counts if
// the endpoint ends just then.
func (t *Tracker) Abandoned(features []Feature, e *deployment.Endpoint) {
	t.addUnproven(run{features: features, start: e.Start(), addr: e.Addr}, causeCallerGone, abandonedTime)
}

// Ended records that an endpoint's process is no longer there.
func (t *Tracker) Ended(start deployment.Start) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended(time.Now(), start)
}

// Served records an answer that began at a time and was whole: until then none of its
// request's features crashed anything.
func (t *Tracker) Served(features []Feature, began time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, f := range features {
		if n := t.records.Served(now, began, f.ID); n > 0 {
			t.config.Log.Event("crash.cleared", decision.Fields{"print": f.Print(), "kind": f.Scope.String(), "crashes": n})
		}
	}
}

// Isolated returns the isolation of a request; its Left is 0 if it may be sent.
func (t *Tracker) Isolated(features []Feature) Isolation {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	// A next start must get no request before it has proven the end of the one before.
	if snap := t.config.Deployment.Snapshot(); snap != t.compared {
		t.compare(now, snap)
	}
	return t.records.Isolated(now, features...)
}

// Explain returns the isolation of a request as the records were last judged, and
// changes nothing.
func (t *Tracker) Explain(features []Feature) Isolation {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.records.longest(time.Now(), features)
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
	news := t.records.Recent(now, since)
	t.contacts.addRecent(now, &news)
	return news
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
		if k.Feature == noFeature {
			t.reached(now, k.Endpoint, source)
			continue
		}
		t.records.AddCleared(now, k)
	}
	for _, k := range n.Crashes {
		t.add(now, k, source)
	}
	for _, k := range n.Unproven {
		t.addUnprovenEnd(now, k, source)
	}
}

// List returns the isolations in force, for operators.
func (t *Tracker) List(now time.Time) []Isolation {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.records.List(now)
}

// addUnproven records a run that broke or was given up, and reports whether its endpoint
// is known to have ended: then it counts.
func (t *Tracker) addUnproven(r run, c cause, keep time.Duration) (ended bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, key := time.Now(), r.start.Key()
	_, refusing := t.contacts.refusing(key)
	if refusing {
		keep = restartTime
	}
	t.unproven.add(now, r, c, keep)
	switch {
	case t.contacts.hasEnded(key):
		t.ended(now, r.start)
		return true
	case refusing:
		t.reportRun(now, key, brokenRun{features: r.features, broke: now})
	}
	return false
}

// ended counts the runs that broke shortly before their endpoint was found to have
// ended.
func (t *Tracker) ended(now time.Time, start deployment.Start) {
	t.contacts.begin(now, start.Key()).ended = true
	runs := t.unproven.take(now, start)
	for _, r := range runs {
		for _, f := range r.features {
			t.add(now, Report{Feature: f, Endpoint: start.Key()}, sourceSelf)
		}
	}
	t.resolved(now, start, runs, outcomeEnded)
}

func (t *Tracker) add(now time.Time, k Report, source string) {
	crashes, added := t.records.Add(now, k, source == sourceSelf)
	if !added {
		return
	}
	if k.Unproven {
		t.logHeld(now, k, source)
		return
	}
	t.config.Metrics.crashed(source == sourceSelf, k.Scope)
	if (source != sourceSelf || k.Scope != WholeRequest) && crashes < suspected {
		return
	}
	f := decision.Fields{
		"print": k.Print(), "kind": k.Scope.String(), "endpoint": k.Endpoint, "crashes": crashes, "source": source, "age_ms": k.Age.Milliseconds(),
	}
	if i := t.records.Isolated(now, k.Feature); i.Left > 0 {
		f["isolated_ms"] = i.Left.Milliseconds()
	}
	t.config.Log.Event("crash", f)
}

// upkeep forgets old records, and compares newer ones with the list of endpoints.
func (t *Tracker) upkeep(now time.Time) {
	t.records.Expire(now)
	t.contacts.expire(now)
	snap := t.config.Deployment.Snapshot()
	for start, runs := range t.unproven.expire(now) {
		t.resolved(now, start, runs, outcomeExpired)
	}
	t.compare(now, snap)
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

// compare counts the runs that broke at endpoints which another process has replaced.
func (t *Tracker) compare(now time.Time, snap *deployment.Snapshot) {
	t.compared = snap
	for _, start := range t.unproven.replaced(snap) {
		t.ended(now, start)
	}
}

// MarshalJSON implements json.Marshaler for state dumps.
func (i Isolation) MarshalJSON() ([]byte, error) {
	return json.Marshal(map[string]any{"print": i.Print(), "kind": i.Scope.String(), "crashes": i.Crashes, "held": i.Held, "left": i.Left.String()})
}
