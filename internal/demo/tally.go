package demo

import (
	"errors"
	"slices"
	"sync"
	"time"

	"bulrushhinge.example/bulrushhinge/pkg/entry"
)

// Kinds of requests.
const (
	kindChat kind = iota
	kindPlain
	kindOnce
	kinds
)

// recentMeans is how many samples make a mean: nodes learn each other's loads
// by heartbeats, so the mean that they can hold an engine to is that of about
// the time between two.
const recentMeans = 25

type (
	kind int

	// count is what became of the requests of one kind.
	count struct {
		sent    int
		whole   int
		again   int
		notRun  int
		unknown int
		cut     int
	}

	// tally counts answers. It is safe for concurrent use.
	tally struct {
		mu     sync.Mutex
		counts [kinds]count
		firsts []time.Duration
		// wholes and notRuns name the requests that must not be repeated and
		// got a whole answer, or were said not to have run.
		wholes  map[mark]bool
		notRuns map[mark]bool
		others  []mark
		// prompt and cached are the prompt tokens of returning turns.
		prompt int
		cached int
		last   error
	}

	// skew is the engines' loads over time, against the multiple of the mean
	// that none may exceed. It is shown and not judged: at a few requests an
	// engine, the loads that nodes know from the last heartbeats differ from
	// those of the moment by more than the bound leaves.
	skew struct {
		bound  float64
		mu     sync.Mutex
		recent []float64
		ratios []float64
		over   int
	}
)

// String returns the kind's name.
func (k kind) String() string {
	return [...]string{"returning chats", "plain services", "once-only calls"}[k]
}

func newTally() *tally {
	return &tally{wholes: map[mark]bool{}, notRuns: map[mark]bool{}}
}

func (t *tally) sent(k kind) { t.add(func() { t.counts[k].sent++ }) }

func (t *tally) again(k kind) { t.add(func() { t.counts[k].again++ }) }

func (t *tally) first(d time.Duration) { t.add(func() { t.firsts = append(t.firsts, d) }) }

func (t *tally) crossed(m mark) { t.add(func() { t.others = append(t.others, m) }) }

func (t *tally) whole(k kind, m mark) {
	t.add(func() {
		t.counts[k].whole++
		if k == kindOnce {
			t.wholes[m] = true
		}
	})
}

// failed counts a request that got no whole answer, by what its caller was
// told.
func (t *tally) failed(k kind, m mark, err error) {
	ran := entry.RanYes
	var refused *entry.Refusal
	switch {
	case errors.As(err, &refused):
		ran = refused.Ran
	case errors.Is(err, entry.ErrNoNode):
		ran = entry.RanNot
	}
	t.add(func() {
		t.last = err
		switch ran {
		case entry.RanNot:
			t.counts[k].notRun++
			t.notRuns[m] = true
		case entry.RanUnknown:
			t.counts[k].unknown++
		default:
			t.counts[k].cut++
		}
	})
}

// reuse counts the prompt tokens of a turn of a chat that returned.
func (t *tally) reuse(returned bool, u entry.Usage) {
	if !returned {
		return
	}
	t.add(func() {
		t.prompt += u.PromptTokens
		t.cached += u.PromptDetails.CachedTokens
	})
}

func (t *tally) answers() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := 0
	for _, c := range t.counts {
		sum += c.whole
	}
	return sum
}

func (t *tally) add(change func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change()
}

// sample takes the loads of the engines at one moment.
func (s *skew) sample(loads []int) {
	total := 0
	for _, l := range loads {
		total += l
	}
	most := float64(slices.Max(loads))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recent = append(s.recent, float64(total)/float64(len(loads)))
	if len(s.recent) > recentMeans {
		s.recent = s.recent[1:]
	}
	mean := max(average(s.recent), s.floor())
	s.ratios = append(s.ratios, most/mean)
	if most > s.bound*mean {
		s.over++
	}
}

// floor is the least that counts as a mean: where it is smaller, the bound
// leaves room for no request above it.
func (s *skew) floor() float64 {
	if s.bound <= 1 {
		return 1
	}
	return 1 / (s.bound - 1)
}

func average(list []float64) float64 {
	sum := 0.0
	for _, x := range list {
		sum += x
	}
	return sum / float64(max(len(list), 1))
}

// quantile returns a quantile of a list; 0 of an empty one.
func quantile[T float64 | time.Duration](list []T, q float64) T {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(list))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
