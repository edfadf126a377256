package crash

import (
	"net/netip"
	"slices"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

const (
	// restartTime is how long after a broken run the endpoint's next start may
	// appear.
	restartTime = 5 * time.Second
	// abandonedTime is how long an endpoint may work on a request whose caller has
	// left.
	abandonedTime = 500 * time.Millisecond
	// maxUnproven bounds the runs remembered.
	maxUnproven = 4096
)

type (
	// unproven are runs that broke or were given up, of endpoints that may have
	// ended. A process may be restarted before it is asked, and a node that stood
	// still asks late: the next start then accepts connections at the same address.
	unproven struct {
		by    map[deployment.Start]*brokenRuns
		count int
	}

	brokenRuns struct {
		addr netip.AddrPort
		// latest is each request's latest run, by the ID of the whole request.
		latest map[uint64]brokenRun
	}

	// brokenRun is a run that is kept until a time.
	brokenRun struct {
		features []Feature
		until    time.Time
	}
)

func newUnproven() *unproven { return &unproven{by: map[deployment.Start]*brokenRuns{}} }

// add adds a run that broke now, unless there are too many.
func (u *unproven) add(now time.Time, r run, keep time.Duration) {
	if u.count >= maxUnproven {
		u.expire(now)
	}
	if u.count >= maxUnproven {
		return
	}
	runs := u.by[r.start]
	if runs == nil {
		runs = &brokenRuns{addr: r.addr, latest: map[uint64]brokenRun{}}
		u.by[r.start] = runs
	}
	request := r.features[0].ID
	if _, known := runs.latest[request]; !known {
		u.count++
	}
	runs.latest[request] = brokenRun{features: r.features, until: later(runs.latest[request].until, now.Add(keep))}
}

// has reports whether a run with a feature has recently broken at an endpoint.
func (u *unproven) has(f Feature, start deployment.Start) bool {
	runs := u.by[start]
	if runs == nil {
		return false
	}
	for _, run := range runs.latest {
		if slices.Contains(run.features, f) {
			return true
		}
	}
	return false
}

// remove forgets a request's run at an endpoint.
func (u *unproven) remove(request Feature, start deployment.Start) {
	runs := u.by[start]
	if runs == nil {
		return
	}
	if _, known := runs.latest[request.ID]; known {
		delete(runs.latest, request.ID)
		u.count--
	}
}

// take removes the runs of an endpoint that has ended and returns their features.
func (u *unproven) take(now time.Time, start deployment.Start) []Feature {
	runs := u.by[start]
	if runs == nil {
		return nil
	}
	var list []Feature
	for _, run := range runs.latest {
		if now.Before(run.until) {
			list = append(list, run.features...)
		}
	}
	u.count -= len(runs.latest)
	delete(u.by, start)
	return list
}

// replaced forgets old runs and returns the endpoints at whose addresses another
// process has started.
func (u *unproven) replaced(now time.Time, snap *deployment.Snapshot) []deployment.Start {
	u.expire(now)
	if len(u.by) == 0 {
		return nil
	}
	newest := map[netip.AddrPort]deployment.Start{}
	for _, service := range snap.Endpoints {
		for _, e := range service {
			if !e.Replaced {
				newest[e.Addr] = e.Start()
			}
		}
	}
	var list []deployment.Start
	for start, runs := range u.by {
		if next, known := newest[runs.addr]; known && next != start {
			list = append(list, start)
		}
	}
	return list
}

func (u *unproven) expire(now time.Time) {
	for start, runs := range u.by {
		for request, run := range runs.latest {
			if !now.Before(run.until) {
				delete(runs.latest, request)
				u.count--
			}
		}
		if len(runs.latest) == 0 {
			delete(u.by, start)
		}
	}
}
