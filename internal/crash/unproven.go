package crash

import (
	"net/netip"
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
		// until is how long each request's latest run is kept, by fingerprint.
		until map[uint64]time.Time
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
		runs = &brokenRuns{addr: r.addr, until: map[uint64]time.Time{}}
		u.by[r.start] = runs
	}
	if runs.until[r.fingerprint].IsZero() {
		u.count++
	}
	runs.until[r.fingerprint] = later(runs.until[r.fingerprint], now.Add(keep))
}

// has reports whether a run of a request has lately broken at an endpoint.
func (u *unproven) has(fingerprint uint64, start deployment.Start) bool {
	runs := u.by[start]
	return runs != nil && !runs.until[fingerprint].IsZero()
}

// take removes the runs of an endpoint that has ended and returns the requests.
func (u *unproven) take(now time.Time, start deployment.Start) []uint64 {
	runs := u.by[start]
	if runs == nil {
		return nil
	}
	var list []uint64
	for fingerprint, until := range runs.until {
		if now.Before(until) {
			list = append(list, fingerprint)
		}
	}
	u.count -= len(runs.until)
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
		for fingerprint, until := range runs.until {
			if !now.Before(until) {
				delete(runs.until, fingerprint)
				u.count--
			}
		}
		if len(runs.until) == 0 {
			delete(u.by, start)
		}
	}
}
