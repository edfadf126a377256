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

// meanSamples is how many samples the mean load is averaged over. Nodes know each
// other's loads only from heartbeats, so they can limit an engine only to the mean
// over about one heartbeat interval.
const meanSamples = 25

type (
	kind int

	// count counts the requests of one kind by their results.
	count struct {
		sent      int
		complete  int
		retried   int
		notRun    int
		unknown   int
		truncated int
	}

	// tally collects the results of requests. Its methods are safe for
	// concurrent use.
	tally struct {
		mu              sync.Mutex
		counts          [kinds]count
		firstTokenTimes []time.Duration
		// completedOnce holds the requests that must not be repeated and got a
		// complete answer, reportedNotRun those of any kind that were reported
		// as not run.
		completedOnce  map[requestMark]bool
		reportedNotRun map[requestMark]bool
		mismatched     []requestMark
		// prompt and cached count the prompt tokens of all turns after the
		// first of a chat, and how many of them were cached.
		prompt  int
		cached  int
		lastErr error
	}

	// skew compares the engines' loads over time with bound, the multiple of
	// the mean that none may exceed. It is printed but does not fail the demo:
	// at a few requests per engine, the loads that nodes know from the last
	// heartbeats differ from the current ones by more than the bound allows.
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
	return &tally{completedOnce: map[requestMark]bool{}, reportedNotRun: map[requestMark]bool{}}
}

func (t *tally) addSent(k kind) { t.update(func() { t.counts[k].sent++ }) }

func (t *tally) addRetry(k kind) { t.update(func() { t.counts[k].retried++ }) }

func (t *tally) addFirstToken(d time.Duration) {
	t.update(func() { t.firstTokenTimes = append(t.firstTokenTimes, d) })
}

func (t *tally) addMismatch(m requestMark) {
	t.update(func() { t.mismatched = append(t.mismatched, m) })
}

func (t *tally) addComplete(k kind, m requestMark) {
	t.update(func() {
		t.counts[k].complete++
		if k == kindOnce {
			t.completedOnce[m] = true
		}
	})
}

// addFailure counts a request that got no complete answer, by whether the error
// says that it ran. Errors that say nothing about it count as truncated answers.
func (t *tally) addFailure(k kind, m requestMark, err error) {
	ran := entry.RanYes
	var refused *entry.Refusal
	switch {
	case errors.As(err, &refused):
		ran = refused.Ran
	case errors.Is(err, entry.ErrNoNode):
		ran = entry.RanNot
	}
	t.update(func() {
		t.lastErr = err
		switch ran {
		case entry.RanNot:
			t.counts[k].notRun++
			t.reportedNotRun[m] = true
		case entry.RanUnknown:
			t.counts[k].unknown++
		default:
			t.counts[k].truncated++
		}
	})
}

// addReuse counts the prompt tokens of a turn unless it is the first of its chat.
func (t *tally) addReuse(returned bool, u entry.Usage) {
	if !returned {
		return
	}
	t.update(func() {
		t.prompt += u.PromptTokens
		t.cached += u.PromptDetails.CachedTokens
	})
}

// answers returns the number of complete answers.
func (t *tally) answers() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := 0
	for _, c := range t.counts {
		sum += c.complete
	}
	return sum
}

// update runs change with the mutex held.
func (t *tally) update(change func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change()
}

// sample records the current loads of the engines.
func (s *skew) sample(loads []int) {
	total := 0
	for _, l := range loads {
		total += l
	}
	highest := float64(slices.Max(loads))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recent = append(s.recent, float64(total)/float64(len(loads)))
	if len(s.recent) > meanSamples {
		s.recent = s.recent[1:]
	}
	mean := max(average(s.recent), s.floor())
	s.ratios = append(s.ratios, highest/mean)
	if highest > s.bound*mean {
		s.over++
	}
}

// floor returns the smallest mean that sample uses. If the mean were smaller, the
// bound would not allow even one request above it.
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

// quantile returns the q-quantile of a list, or 0 if the list is empty.
func quantile[T float64 | time.Duration](list []T, q float64) T {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(list))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
