package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"bulrushhinge.example/bulrushhinge/platform/standin"
)

type (
	// ledger is what callers and endpoints have seen, and which promises are
	// broken by it.
	ledger struct {
		timed bool

		mu       sync.Mutex
		runs     map[string][]run
		asked    map[string]kind
		notRun   map[string]time.Time
		versions []time.Time
		// seen is the newest version that each start of a node has shown.
		seen   map[string]int
		leaves map[*endpoint]time.Time
		// evacuated is since when zones are evacuated.
		evacuated map[string]time.Time
		trouble   []span
		planned   []span
		requests  []time.Time
		repeats   []time.Time
		outcomes  map[string]int
		broken    []string
		// words are what endpoints have said of themselves to nodes.
		words *words
	}

	// run is one arrival at an endpoint that began to run.
	run struct {
		endpoint *endpoint
		after    uint64
		at       time.Time
	}

	// span is a time during which something was not as usual.
	span struct{ from, to time.Time }

	// kind is what may be repeated of a request.
	kind int
)

// Kinds of requests.
const (
	safe kind = iota
	once
	resumed
	streamOnce
)

func newLedger(timed bool) *ledger {
	return &ledger{
		timed: timed, runs: map[string][]run{}, asked: map[string]kind{}, notRun: map[string]time.Time{},
		seen: map[string]int{}, leaves: map[*endpoint]time.Time{}, evacuated: map[string]time.Time{}, outcomes: map[string]int{},
		words: newWords(),
	}
}

// breaks notes a broken promise; the mutex must be held.
func (l *ledger) breaks(format string, args ...any) {
	l.broken = append(l.broken, fmt.Sprintf(format, args...))
}

func (l *ledger) ask(id string, k kind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked[id] = k
	l.requests = append(l.requests, time.Now())
}

// ran notes that an endpoint has begun to run a request.
func (l *ledger) ran(id string, e *endpoint, after uint64, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k, known := l.asked[id]
	if !known {
		l.breaks("%s ran, which nobody asked for", id)
		return
	}
	if len(l.runs[id]) > 0 {
		l.repeats = append(l.repeats, at)
		if k == once || k == streamOnce {
			l.breaks("%s ran twice: at %s and %s", id, l.runs[id][0].endpoint.id, e.id)
		}
	}
	if _, refused := l.notRun[id]; refused {
		l.breaks("%s ran at %s after it was said not to have run", id, e.id)
	}
	l.runs[id] = append(l.runs[id], run{endpoint: e, after: after, at: at})
	if left, ok := l.leaves[e]; ok && l.timed && at.Sub(left) > drainBound+drainSlack && l.calm(left, at) {
		l.breaks("%s reached %s %v after its leave", id, e.id, at.Sub(left))
	}
	if since, ok := l.evacuated[e.zone]; ok && l.timed && at.Sub(since) > evacuateBound && l.calm(since, at) {
		l.breaks("%s reached %s %v after the evacuation of %s", id, e.id, at.Sub(since), e.zone)
	}
}

// evacuate notes that a zone is evacuated from now on, or was taken back.
func (l *ledger) evacuate(zone string, on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.evacuated, zone)
	if on {
		l.evacuated[zone] = time.Now()
	}
}

// answered takes what a caller got.
func (l *ledger) answered(id string, a answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes[a.outcome()]++
	switch a.status {
	case 503, 429, 408, 421:
		l.notRun[id] = time.Now()
		if len(l.runs[id]) > 0 {
			l.breaks("%s was said not to have run (%d), but ran at %s", id, a.status, l.runs[id][0].endpoint.id)
		}
	case 200:
		l.whole(id, a)
	}
	if a.cut && l.onlyPlanned(a.sent, time.Now()) {
		l.breaks("%s was cut with only planned work about (%s)", id, a.err)
	}
}

// whole checks that an answer that looks complete is the request's own.
func (l *ledger) whole(id string, a answer) {
	if a.err != nil {
		return
	}
	want := standin.Answer(id, []byte("body of "+id))
	if k := l.asked[id]; k == resumed || k == streamOnce {
		want = ""
		for n := 1; n <= streamEvents; n++ {
			want += standin.Event(id, n)
		}
	}
	if a.body != want {
		l.breaks("%s got an answer that is not its own or not whole: %.80q", id, a.body)
	}
}

// configured notes a new version of the configuration.
func (l *ledger) configured(version int, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.versions) < version {
		l.versions = append(l.versions, at)
	}
}

// shows takes whether a start of a node knows a version's route.
func (l *ledger) shows(start string, version int, known bool, asked time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known {
		l.seen[start] = max(l.seen[start], version)
		return
	}
	if l.seen[start] >= version {
		l.breaks("%s went back behind version %d", start, version)
	}
	since := l.versions[version-1]
	if l.timed && asked.Sub(since) > applyBound && l.calm(since, asked) {
		l.breaks("%s does not know version %d after %v", start, version, asked.Sub(since))
	}
}

func (l *ledger) newest() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.versions)
}

func (l *ledger) left(e *endpoint, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaves[e] = at
}

// disturb notes trouble, or planned work, from now on; its end ends the span.
func (l *ledger) disturb(planned bool) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := &l.trouble
	if planned {
		list = &l.planned
	}
	i := len(*list)
	*list = append(*list, span{from: time.Now()})
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		(*list)[i].to = time.Now()
	}
}

// calm reports whether no trouble was about in a span and the contact time
// before it; the mutex must be held.
func (l *ledger) calm(from, to time.Time) bool {
	return !overlaps(l.trouble, from.Add(-contact), to)
}

func (l *ledger) onlyPlanned(from, to time.Time) bool {
	return l.timed && l.calm(from, to) && overlaps(l.planned, from, to)
}

func overlaps(list []span, from, to time.Time) bool {
	return slices.ContainsFunc(list, func(s span) bool {
		return s.from.Before(to) && (s.to.IsZero() || s.to.After(from))
	})
}

// finish checks what can only be seen at the end, and returns all that is broken.
func (l *ledger) finish() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, end := range l.repeats {
		since := end.Add(-budgetWindow)
		repeats, requests := countIn(l.repeats, since, end), countIn(l.requests, since.Add(-budgetWindow), end)
		if float64(repeats) > 0.2*float64(requests)+retrySlack {
			l.breaks("%d repeats for %d requests", repeats, requests)
			break
		}
	}
	if l.timed {
		l.broken = append(l.broken, l.words.broken()...)
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
