package crash

import (
	"time"

	"bulrushhinge.example/bulrushhinge/internal/decision"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

const (
	// contactTTL is how long it is remembered that an endpoint refused connections or
	// accepted one.
	contactTTL = 30 * time.Second
	// lateReports is how long reports of an end that is not proven are ignored after a
	// node was connected to the endpoint: they are repeated for repeatTime.
	lateReports = repeatTime + time.Second
	// reportDelay is how late nodes learn that an endpoint refuses connections to
	// another one, in fleets with relays.
	reportDelay = time.Second
)

type (
	// contacts are the endpoints that refuse connections to nodes, by the Key of their
	// start, and those to which one was connected since.
	contacts struct{ by map[uint32]*contact }

	contact struct {
		// refusedAt is when this node learned that the endpoint refuses connections, zero
		// if a node was connected to it since.
		refusedAt time.Time
		// here and elsewhere say that it refuses them to this node and to another one,
		// and confirmedAt is since when two nodes are known.
		here, elsewhere bool
		confirmedAt     time.Time
		// ended says that it was proven to have ended.
		ended bool
		// reportedAt is when the runs there were last reported.
		reportedAt time.Time
		// asked says that it was to be asked at some of the nodes.
		asked bool
		// reachedAt is when this node learned that one was connected to it, and own says
		// that it was this one.
		reachedAt time.Time
		own       bool
	}
)

// Features of reports on an endpoint, whatever it ran.
var (
	noFeature = Feature{}
	// confirmation says that the endpoint refuses connections to two nodes.
	confirmation = Feature{Scope: confirmedScope}
)

func newContacts() *contacts { return &contacts{by: map[uint32]*contact{}} }

// mayRefuse reports whether another node's report that an endpoint refuses connections
// counts: not if a node was connected to it just before, unless it refuses them here.
func (c *contacts) mayRefuse(now time.Time, endpoint uint32) bool {
	k := c.by[endpoint]
	return k == nil || k.here || now.Sub(k.reachedAt) >= lateReports
}

// refused records that an endpoint refuses connections to this node or to another one,
// and reports whether two are known now and were not before.
func (c *contacts) refused(now time.Time, endpoint uint32, here bool) (confirmed bool) {
	k := c.begin(now, endpoint)
	k.here, k.elsewhere = k.here || here, k.elsewhere || !here
	k.own = k.own && !here
	return k.here && k.elsewhere && c.confirm(now, endpoint)
}

// begin returns the contact of an endpoint that refuses connections, which may be new.
func (c *contacts) begin(now time.Time, endpoint uint32) *contact {
	k := c.by[endpoint]
	if k == nil {
		k = &contact{}
		c.by[endpoint] = k
	}
	if k.refusedAt.IsZero() {
		k.refusedAt = now
	}
	return k
}

// hasEnded reports whether an endpoint was proven to have ended.
func (c *contacts) hasEnded(endpoint uint32) bool {
	k := c.by[endpoint]
	return k != nil && k.ended
}

// confirm records that an endpoint refuses connections to two nodes, and reports whether
// that is new.
func (c *contacts) confirm(now time.Time, endpoint uint32) bool {
	k := c.by[endpoint]
	if k == nil || !k.confirmedAt.IsZero() {
		return false
	}
	k.confirmedAt = now
	return true
}

// mayReport reports whether the runs at an endpoint that refuses connections are to be
// reported, at most once in renewInterval.
func (c *contacts) mayReport(now time.Time, endpoint uint32) bool {
	k := c.by[endpoint]
	if now.Sub(k.reportedAt) < renewInterval {
		return false
	}
	k.reportedAt = now
	return true
}

// mayAsk reports whether an endpoint is to be asked, once after it has begun to refuse
// connections.
func (c *contacts) mayAsk(endpoint uint32) bool {
	k := c.by[endpoint]
	if k == nil || k.asked {
		return false
	}
	k.asked = true
	return true
}

// reached records that a node was connected to an endpoint that refused connections, and
// reports whether that is new: other nodes repeat their reports, and the endpoint may
// have ended since.
func (c *contacts) reached(now time.Time, endpoint uint32, own bool) bool {
	k := c.by[endpoint]
	if k == nil || !own && now.Sub(k.reachedAt) < lateReports {
		return false
	}
	c.by[endpoint] = &contact{reachedAt: now, own: own}
	return true
}

// refusing returns since when an endpoint is known to refuse connections, and whether it
// is: not if a node was connected to it since.
func (c *contacts) refusing(endpoint uint32) (since time.Time, known bool) {
	k := c.by[endpoint]
	if k == nil || k.refusedAt.IsZero() {
		return time.Time{}, false
	}
	return k.refusedAt, true
}

// addRecent adds the reports of the endpoints that refuse connections to this node, and
// of those to which it was connected since.
func (c *contacts) addRecent(now time.Time, n *News) {
	for endpoint, k := range c.by {
		if k.here && now.Sub(k.refusedAt) < repeatTime && len(n.Unproven) < 2*maxRecent {
			n.Unproven = append(n.Unproven, Report{Endpoint: endpoint})
		}
		if k.here && k.elsewhere && now.Sub(k.confirmedAt) < repeatTime && len(n.Unproven) < 2*maxRecent {
			n.Unproven = append(n.Unproven, Report{Feature: confirmation, Endpoint: endpoint})
		}
		if k.own && now.Sub(k.reachedAt) < repeatTime && len(n.Cleared) < 2*maxRecent {
			n.Cleared = append(n.Cleared, Report{Endpoint: endpoint})
		}
	}
}

// expire forgets what is long ago.
func (c *contacts) expire(now time.Time) {
	for endpoint, k := range c.by {
		if now.Sub(later(later(k.refusedAt, k.confirmedAt), k.reachedAt)) >= contactTTL {
			delete(c.by, endpoint)
		}
	}
}

// Reached records that an endpoint has answered a request that was sent to it at a time.
// If it was reported since before then to refuse connections, it has not ended.
func (t *Tracker) Reached(e *deployment.Endpoint, sent time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := e.Start().Key()
	if since, known := t.contacts.refusing(key); known && since.Before(sent) {
		t.reached(time.Now(), key, sourceSelf)
	}
}

// reached records that a node was connected to an endpoint.
func (t *Tracker) reached(now time.Time, endpoint uint32, source string) {
	if !t.contacts.reached(now, endpoint, source == sourceSelf) {
		return
	}
	if n := t.records.Reached(now, endpoint); n > 0 {
		t.config.Log.Event("crash.refuted", decision.Fields{"endpoint": endpoint, "features": n, "source": source})
	}
}

// Refused records that an endpoint has refused a connection. Runs that broke or were
// given up there shortly before may have ended it.
func (t *Tracker) Refused(e *deployment.Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refused(time.Now(), e.Start().Key(), true)
}

// Refusing returns for how long endpoints have refused connections, for state dumps.
func (t *Tracker) Refusing(now time.Time) map[uint32]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := map[uint32]string{}
	for endpoint, k := range t.contacts.by {
		if !k.refusedAt.IsZero() {
			list[endpoint] = now.Sub(k.refusedAt).String()
		}
	}
	return list
}

// refused records that an endpoint refuses connections to this node or to another one,
// and reports the runs that broke or were given up there shortly before.
func (t *Tracker) refused(now time.Time, endpoint uint32, here bool) {
	if t.contacts.refused(now, endpoint, here) {
		t.records.Confirm(now, endpoint)
	}
	if !t.contacts.mayReport(now, endpoint) {
		return
	}
	delay := time.Duration(0)
	if !here {
		delay = reportDelay
	}
	for _, r := range t.unproven.renew(now, endpoint, delay) {
		t.reportRun(now, endpoint, r)
	}
}

// reportRun reports a run that broke or was given up at an endpoint that refuses
// connections.
func (t *Tracker) reportRun(now time.Time, endpoint uint32, r brokenRun) {
	for _, f := range r.features {
		t.add(now, Report{Feature: f, Endpoint: endpoint, Age: now.Sub(r.broke), Unproven: true}, sourceSelf)
	}
}

// addUnprovenEnd adds another node's report that an endpoint refuses connections.
func (t *Tracker) addUnprovenEnd(now time.Time, k Report, source string) {
	if !t.contacts.mayRefuse(now, k.Endpoint) {
		return
	}
	t.refused(now, k.Endpoint, false)
	switch k.Feature {
	case noFeature:
	case confirmation:
		if t.contacts.confirm(now, k.Endpoint) {
			t.records.Confirm(now, k.Endpoint)
		}
	default:
		if t.contacts.mayAsk(k.Endpoint) {
			t.ask(k.Endpoint)
		}
		k.Unproven = true
		t.add(now, k, source)
	}
}

// logHeld logs an end that is not proven.
func (t *Tracker) logHeld(now time.Time, k Report, source string) {
	i := t.records.Isolated(now, k.Feature)
	if i.Left == 0 && (source != sourceSelf || k.Scope != WholeRequest) {
		return
	}
	t.config.Log.Event("crash.suspected", decision.Fields{
		"print": k.Print(), "kind": k.Scope.String(), "endpoint": k.Endpoint, "crashes": i.Crashes, "source": source, "age_ms": k.Age.Milliseconds(),
		"held_ms": i.Left.Milliseconds(),
	})
}
