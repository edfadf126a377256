package admission_test

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/admission"
)

type (
	// simpleOrder is an order to compare with: all requests wait, and the first one by
	// a comparison gets the next slot.
	simpleOrder struct {
		compare func(o *simpleOrder, a, b *simplePlace) int
		// toDeadline says that requests wait until their deadline, otherwise until
		// they would be late.
		toDeadline bool
		waiting    []*simplePlace
		round      []*simplePlace
		requested  map[string]float64
		served     map[string]float64
	}

	simplePlace struct {
		request admission.Request
		until   time.Time
		turn    chan struct{}
	}
)

func (p *simplePlace) Turn() <-chan struct{}     { return p.turn }
func (p *simplePlace) Deadline() time.Time       { return p.until }
func (p *simplePlace) Rejected() <-chan struct{} { return nil }
func (p *simplePlace) Searched()                 {}

// group names the requests whose served shares are compared: a kind's size class.
func (o *simpleOrder) group(r admission.Request) string {
	if r.Work > 2*time.Second {
		return r.Kind + " large"
	}
	return r.Kind
}

func (o *simpleOrder) Arrived(_ time.Time, r admission.Request) bool {
	o.requested[o.group(r)]++
	return false
}

func (o *simpleOrder) Admitted(_ time.Time, r admission.Request) { o.served[o.group(r)]++ }

func (o *simpleOrder) ObserveLatency(admission.Request, time.Duration) {}

func (o *simpleOrder) MayTry(time.Time, admission.Request) bool { return len(o.waiting) == 0 }

func (o *simpleOrder) Refused(time.Time, admission.Request) {}

func (o *simpleOrder) Join(_ time.Time, r admission.Request) place {
	p := &simplePlace{request: r, until: r.Deadline.Add(-r.Work), turn: make(chan struct{}, 1)}
	if !o.toDeadline {
		p.until = r.Came.Add(r.Objective)
	}
	o.waiting = append(o.waiting, p)
	return p
}

func (o *simpleOrder) Leave(w place) {
	gone := func(p *simplePlace) bool { return place(p) == w }
	o.waiting, o.round = slices.DeleteFunc(o.waiting, gone), slices.DeleteFunc(o.round, gone)
}

func (o *simpleOrder) StartRound(time.Time) {
	o.round = slices.SortedStableFunc(slices.Values(o.waiting), func(a, b *simplePlace) int { return o.compare(o, a, b) })
	o.round = o.round[:min(len(o.round), 2)]
	o.NextTurn()
}

func (o *simpleOrder) NoPlace(time.Time) {}

func (o *simpleOrder) NextTurn() {
	if len(o.round) > 0 {
		o.round[0].turn <- struct{}{}
		o.round = o.round[1:]
	}
}

func (o *simpleOrder) Started(time.Time, admission.Request, place) {}

func (o *simpleOrder) Completed(now time.Time, _ admission.Request, _ time.Duration) {
	o.StartRound(now)
}

func (o *simpleOrder) RetryAfter(_ time.Time, r admission.Request) time.Duration {
	return max(r.Objective/4, 10*time.Millisecond)
}

func (o *simpleOrder) share(r admission.Request) float64 {
	return o.served[o.group(r)] / max(o.requested[o.group(r)], 1)
}

func byDue(_ *simpleOrder, a, b *simplePlace) int {
	return a.request.Came.Add(a.request.Objective).Compare(b.request.Came.Add(b.request.Objective))
}

func byDensity(_ *simpleOrder, a, b *simplePlace) int {
	density := func(p *simplePlace) float64 {
		return 1 / p.request.Work.Seconds() / float64(int(1)<<p.request.Priority)
	}
	return cmp.Compare(density(b), density(a))
}

func byShare(o *simpleOrder, a, b *simplePlace) int {
	const step = 0.03
	weighted := func(p *simplePlace) float64 { return o.share(p.request) + step*float64(p.request.Priority) }
	return cmp.Compare(weighted(a), weighted(b))
}

func newSimpleOrder(compare func(o *simpleOrder, a, b *simplePlace) int, toDeadline bool) func() order {
	return func() order {
		return &simpleOrder{compare: compare, toDeadline: toDeadline, requested: map[string]float64{}, served: map[string]float64{}}
	}
}

// Guards against an order by cost that serves fewer requests in time than the orders
// that it was compared with.
func TestOrdersCompared(t *testing.T) {
	const tolerance = 0.02
	others := []struct {
		name string
		new  func() order
	}{
		{"current order", newSharesOrder},
		{"earliest due time first", newSimpleOrder(byDue, true)},
		{"cost density alone", newSimpleOrder(byDensity, true)},
		{"shares with floors", newSimpleOrder(byShare, false)},
	}
	for _, l := range costLoads() {
		t.Run(l.name, func(t *testing.T) {
			t.Parallel()
			m := playCost(l, 1, newCostOrder)
			logResults(t, "order by cost", m)
			got := m.total()
			compared := others
			if l.nodes > 1 {
				// The others are compared where one node sees all requests.
				compared = others[:1]
			}
			for _, o := range compared {
				other := playCost(l, 1, o.new)
				logResults(t, o.name, other)
				all := other.total()
				require.Greater(t, float64(got.inTime)/float64(got.asked), float64(all.inTime)/float64(all.asked)-tolerance, o.name)
			}
		})
	}
}
