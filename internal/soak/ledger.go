package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"bulrushhinge.example/bulrushhinge/platform/standin"
)

type (
	// ledger records what callers and endpoints observe, and the violations of
	// guarantees that follow from it.
	ledger struct {
		timed bool
		// slack is the retries that are allowed beside a share of the requests.
		slack int

		mu       sync.Mutex
		runs     map[string][]run
		kinds    map[string]kind
		notRun   map[string]time.Time
		versions []time.Time
		// seen is the newest configuration version that each incarnation of a node has
		// shown.
		seen   map[string]int
		leaves map[*endpoint]time.Time
		// evacuated is when the evacuation of each zone began.
		evacuated map[string]time.Time
		unplanned []span
		planned   []span
		requests  []time.Time
		retries   []time.Time
		outcomes  map[string]int
		broken    []string
		// notices are the endpoints' leave notices and backoffs.
		notices *notices
		crashes *crashes
		cuts    *cuts
		// brittles are the falls of brittle endpoints.
		brittles brittles
		scarce   *scarce
		losses   *losses
		endless  *endless
	}

	// run is one execution of a request at an endpoint.
	run struct {
		endpoint *endpoint
		after    uint64
		at       time.Time
	}

	// span is the time that a fault lasts; to is zero while it does.
	span struct {
		from, to time.Time
		// spares says that the fault disturbs no node.
		spares bool
		cuts   bool
		// owner says that the fault disturbs only the owner of the scarce service.
		owner bool
	}

	// kind says how far a request may be retried.
	kind int
)

// Kinds of requests.
const (
	safe kind = iota
	once
	resumed
	streamOnce
)

func newLedger(timed bool, slack int) *ledger {
	return &ledger{
		timed: timed, slack: slack, runs: map[string][]run{}, kinds: map[string]kind{}, notRun: map[string]time.Time{},
		seen: map[string]int{}, leaves: map[*endpoint]time.Time{}, evacuated: map[string]time.Time{}, outcomes: map[string]int{},
		notices: newNotices(), crashes: newCrashes(), cuts: newCuts(), losses: newLosses(), endless: newEndless(),
	}
}

// recordFailure records a failure of the stand-ins.
func (l *ledger) recordFailure(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violation("%v", err)
}

// violation records a violated guarantee; the mutex must be held.
func (l *ledger) violation(format string, args ...any) {
	l.broken = append(l.broken, fmt.Sprintf(format, args...))
}

func (l *ledger) recordRequest(id string, k kind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.kinds[id] = k
	l.requests = append(l.requests, time.Now())
}

// recordRun records that an endpoint began to run a request.
func (l *ledger) recordRun(id string, e *endpoint, after uint64, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k, known := l.kinds[id]
	if !known {
		l.violation("%s ran, which nobody asked for", id)
		return
	}
	if len(l.runs[id]) > 0 {
		l.retries = append(l.retries, at)
		if k == once || k == streamOnce {
			l.violation("%s ran twice: at %s and %s", id, l.runs[id][0].endpoint.id, e.id)
		}
	}
	if _, refused := l.notRun[id]; refused {
		l.violation("%s ran at %s after it was said not to have run", id, e.id)
	}
	if late := l.beyondDeadline(id, at); late > 0 {
		l.violation("%s ran at %s %v after its deadline", id, e.id, late)
	}
	l.runs[id] = append(l.runs[id], run{endpoint: e, after: after, at: at})
	if left, ok := l.leaves[e]; ok && l.timed && at.Sub(left) > drainBound+drainSlack && l.undisturbed(left, at) {
		l.violation("%s reached %s %v after its leave", id, e.id, at.Sub(left))
	}
	if since, ok := l.evacuated[e.zone]; ok && l.timed && at.Sub(since) > evacuateBound && l.undisturbed(since, at) {
		l.violation("%s reached %s %v after the evacuation of %s", id, e.id, at.Sub(since), e.zone)
	}
}

// setEvacuated records that a zone's evacuation begins or ends.
func (l *ledger) setEvacuated(zone string, on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.evacuated, zone)
	if on {
		l.evacuated[zone] = time.Now()
	}
}

// recordAnswer records the outcome of a request.
func (l *ledger) recordAnswer(id string, a answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes[a.outcome()]++
	switch a.status {
	case 503, 429, 408, 421:
		l.notRun[id] = time.Now()
		if len(l.runs[id]) > 0 {
			l.violation("%s was said not to have run (%d), but ran at %s", id, a.status, l.runs[id][0].endpoint.id)
		}
	case 200:
		l.checkAnswer(id, a)
	}
	if a.cut && l.onlyPlanned(a.sent, time.Now()) {
		l.violation("%s was cut with only planned work about (%s)", id, a.err)
	}
}

// checkAnswer checks that an answer received without an error is complete and belongs
// to the request.
func (l *ledger) checkAnswer(id string, a answer) {
	if a.err != nil {
		return
	}
	want := standin.Answer(id, []byte(a.sentBody))
	if k := l.kinds[id]; k == resumed || k == streamOnce {
		want = ""
		for n := 1; n <= streamEvents; n++ {
			want += standin.Event(id, n)
		}
	}
	if a.body != want {
		l.violation("%s got an answer that is not its own or not whole: %.80q", id, a.body)
	}
}

// recordVersion records a new version of the configuration.
func (l *ledger) recordVersion(version int, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.versions) < version {
		l.versions = append(l.versions, at)
	}
}

// recordProbe records whether an incarnation of a node knows a version's route.
func (l *ledger) recordProbe(start string, version int, known bool, sentAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known {
		l.seen[start] = max(l.seen[start], version)
		return
	}
	if l.seen[start] >= version {
		l.violation("%s went back behind version %d", start, version)
	}
	since := l.versions[version-1]
	if l.timed && sentAt.Sub(since) > applyBound && l.undisturbed(since, sentAt) {
		l.violation("%s does not know version %d after %v", start, version, sentAt.Sub(since))
	}
}

func (l *ledger) newest() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.versions)
}

func (l *ledger) recordLeave(e *endpoint, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaves[e] = at
}

// recordFault records the start of a fault or of planned work; end records its end.
func (l *ledger) recordFault(f fault) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := &l.unplanned
	if f.planned {
		list = &l.planned
	}
	i := len(*list)
	*list = append(*list, span{from: time.Now(), spares: f.spares, cuts: f.cuts, owner: f.owner})
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		(*list)[i].to = time.Now()
	}
}

// undisturbed reports whether no unplanned fault lasted during a span or the recovery
// time before it; the mutex must be held.
func (l *ledger) undisturbed(from, to time.Time) bool {
	return !overlaps(l.unplanned, from.Add(-recoveryTime), to)
}

// nodesUndisturbed is undisturbed for faults that disturb nodes, planned ones too.
func (l *ledger) nodesUndisturbed(from, to time.Time) bool {
	disturbs := slices.DeleteFunc(slices.Concat(l.unplanned, l.planned), func(s span) bool { return s.spares })
	return !overlaps(disturbs, from.Add(-recoveryTime), to)
}

// recordCutTry records a try at a node that was cut off from the endpoints some time
// before, unless there were other faults.
func (l *ledger) recordCutTry(cutSince time.Time, a answer) {
	now := time.Now()
	if cutSince.IsZero() || a.abandoned || a.sent.Sub(cutSince) < recoveryTime {
		return
	}
	l.mu.Lock()
	others := slices.DeleteFunc(slices.Concat(l.unplanned, l.planned), func(s span) bool { return s.cuts })
	calm := !overlaps(others, a.sent.Add(-recoveryTime), now)
	l.mu.Unlock()
	if calm {
		l.cuts.record(a.status == 200 && a.err == nil)
	}
}

func (l *ledger) onlyPlanned(from, to time.Time) bool {
	return l.timed && l.undisturbed(from, to) && overlaps(l.planned, from, to)
}

func overlaps(list []span, from, to time.Time) bool {
	return slices.ContainsFunc(list, func(s span) bool {
		return s.from.Before(to) && (s.to.IsZero() || s.to.After(from))
	})
}

// finish runs the checks that need the whole run, and returns all violations.
func (l *ledger) finish() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, end := range l.retries {
		since := end.Add(-budgetWindow)
		retries, requests := countIn(l.retries, since, end), countIn(l.requests, since.Add(-budgetWindow), end)
		if float64(retries) > 0.2*float64(requests)+float64(l.slack) {
			l.violation("%d repeats for %d requests", retries, requests)
			break
		}
	}
	l.broken = append(l.broken, l.crashes.checkRefusals()...)
	if l.timed {
		l.broken = append(l.broken, l.notices.check()...)
		l.broken = append(l.broken, l.crashes.check(l.nodesUndisturbed)...)
		l.broken = append(l.broken, l.cuts.check()...)
		l.broken = append(l.broken, l.brittles.check()...)
		l.broken = append(l.broken, l.scarce.check()...)
	}
	return l.broken
}

func countIn(list []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range list {
		if at.After(from) && !at.After(to) {
			n++
		}
	}
	return n
}
