package crash

import (
	"net/netip"
	"slices"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

// Causes why the end of a run's endpoint is not proven.
const (
	// causeAccepted means that the endpoint accepted a connection when it was asked: it
	// runs, or another process has started at its address.
	causeAccepted cause = "accepted"
	// causeUnanswered means that the endpoint did not answer in time.
	causeUnanswered cause = "unanswered"
	// causeNoWitness means that the endpoint refused a connection, and that no other of
	// its service accepted one.
	causeNoWitness cause = "no-witness"
	// causeCallerGone and causeSilent mean that the run was given up.
	causeCallerGone cause = "caller-gone"
	causeSilent     cause = "silent"
)

const (
	// restartTime is how long after a broken run the endpoint's next start may
	// appear.
	restartTime = 5 * time.Second
	// maxRestartTime is the same for an endpoint that goes on to refuse connections.
	maxRestartTime = 30 * time.Second
	// abandonedTime is how long an endpoint may work on a request whose caller has
	// left.
	abandonedTime = 500 * time.Millisecond
	// maxUnproven bounds the runs remembered.
	maxUnproven = 4096
)

type (
	// cause is why the end of a run's endpoint is not proven.
	cause string

	// unproven are runs that broke or were given up, of endpoints that may have
	// ended. A process may be restarted before it is asked, and a node that stood
	// still asks late: the next start then accepts connections at the same address.
	unproven struct {
		// by are the runs by the Key of their endpoint's start.
		by    map[uint32]*brokenRuns
		count int
	}

	brokenRuns struct {
		start deployment.Start
		addr  netip.AddrPort
		// latest is each request's latest run, by the ID of the whole request.
		latest map[uint64]brokenRun
	}

	// brokenRun is a run that is kept until a time.
	brokenRun struct {
		features []Feature
		broke    time.Time
		until    time.Time
		cause    cause
	}
)

func newUnproven() *unproven { return &unproven{by: map[uint32]*brokenRuns{}} }

// add adds a run that broke now, unless there are too many.
func (u *unproven) add(now time.Time, r run, c cause, keep time.Duration) {
	if u.count >= maxUnproven {
		u.expire(now)
	}
	if u.count >= maxUnproven {
		return
	}
	runs := u.by[r.start.Key()]
	if runs == nil {
		runs = &brokenRuns{start: r.start, addr: r.addr, latest: map[uint64]brokenRun{}}
		u.by[r.start.Key()] = runs
	}
	request := r.features[0].ID
	if _, known := runs.latest[request]; !known {
		u.count++
	}
	runs.latest[request] = brokenRun{features: r.features, broke: now, until: later(runs.latest[request].until, now.Add(keep)), cause: c}
}

// explain records why the end of the endpoint of a request's run is not proven.
func (u *unproven) explain(request Feature, start deployment.Start, c cause) {
	runs := u.by[start.Key()]
	if runs == nil {
		return
	}
	if run, known := runs.latest[request.ID]; known {
		run.cause = c
		runs.latest[request.ID] = run
	}
}

// has reports whether a run with a feature has recently broken at an endpoint.
func (u *unproven) has(f Feature, start deployment.Start) bool {
	runs := u.by[start.Key()]
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

// renew returns the runs that broke or were given up at an endpoint which refuses
// connections since some time, and keeps them longer: its next start is yet to come.
func (u *unproven) renew(now time.Time, endpoint uint32, delay time.Duration) []brokenRun {
	runs := u.by[endpoint]
	if runs == nil {
		return nil
	}
	var list []brokenRun
	for request, run := range runs.latest {
		if now.Add(-delay).Before(run.until) && now.Sub(run.broke) < maxRestartTime {
			run.until = later(run.until, now.Add(restartTime))
			runs.latest[request] = run
			list = append(list, run)
		}
	}
	return list
}

// remove forgets a request's run at an endpoint.
func (u *unproven) remove(request Feature, start deployment.Start) {
	runs := u.by[start.Key()]
	if runs == nil {
		return
	}
	if _, known := runs.latest[request.ID]; known {
		delete(runs.latest, request.ID)
		u.count--
	}
}

// take removes the runs of an endpoint that has ended and returns them.
func (u *unproven) take(now time.Time, start deployment.Start) []brokenRun {
	runs := u.by[start.Key()]
	if runs == nil {
		return nil
	}
	var list []brokenRun
	for _, run := range runs.latest {
		if now.Before(run.until) {
			list = append(list, run)
		}
	}
	u.count -= len(runs.latest)
	delete(u.by, start.Key())
	return list
}

// replaced returns the endpoints at whose addresses another process has started.
func (u *unproven) replaced(snap *deployment.Snapshot) []deployment.Start {
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
	for _, runs := range u.by {
		if next, known := newest[runs.addr]; known && next != runs.start {
			list = append(list, runs.start)
		}
	}
	return list
}

// expire forgets old runs and returns them.
func (u *unproven) expire(now time.Time) map[deployment.Start][]brokenRun {
	expired := map[deployment.Start][]brokenRun{}
	for key, runs := range u.by {
		for request, run := range runs.latest {
			if !now.Before(run.until.Add(reportDelay)) {
				delete(runs.latest, request)
				u.count--
				expired[runs.start] = append(expired[runs.start], run)
			}
		}
		if len(runs.latest) == 0 {
			delete(u.by, key)
		}
	}
	return expired
}
