package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bulrushhinge.example/bulrushhinge/internal/admission"
)

// TestCostExplanationIsWhatHappens guards against an explanation of the order by cost
// that differs from what the queue does on the same state, and against one that changes
// it: the second queue is never asked to explain.
func TestCostExplanationIsWhatHappens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		explained, plain := admission.NewCostQueue(), admission.NewCostQueue()
		both := func(f func(q *admission.CostQueue)) {
			f(explained)
			f(plain)
		}
		now := start
		type pair struct{ a, b *admission.Waiter }
		var in []pair
		var running []admission.Request
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
			n := rapid.IntRange(0, 2).Draw(t, "kind")
			r := admission.Request{
				Kind: fmt.Sprint("k", n), Priority: n, Account: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "account"),
				Objective: time.Duration(100+400*n) * time.Millisecond, Came: now, Deadline: now.Add(time.Second),
				Work: time.Duration(rapid.IntRange(5, 80).Draw(t, "work")) * time.Millisecond,
			}
			x := explained.Explain(now, r)
			require.Equal(t, x, explained.Explain(now, r), "an explanation changes nothing")
			require.Equal(t, len(in), x.Waiting)
			require.Equal(t, plain.Kinds(), explained.Kinds())
			require.Equal(t, plain.Shares(), explained.Shares())

			r.Excess = plain.Arrived(now, r)
			require.Equal(t, r.Excess, explained.Arrived(now, r))
			require.Equal(t, r.Excess, x.Excess)
			mayTry := plain.MayTry(now, r)
			require.Equal(t, mayTry, explained.MayTry(now, r))
			require.Equal(t, mayTry, x.MayTry)
			if mayTry && rapid.Bool().Draw(t, "place") {
				both(func(q *admission.CostQueue) {
					q.Admitted(now, r)
					q.Started(now, r, nil)
				})
				running = append(running, r)
				continue
			}
			if mayTry {
				both(func(q *admission.CostQueue) { q.NoPlace(now) })
			}
			known := plain.Rejection(now, r)
			require.Equal(t, known, explained.Rejection(now, r))
			require.InDelta(t, 1000*known.Due.Seconds(), x.DueMS, 1e-6)
			require.InDelta(t, 1000*known.Work.Seconds(), x.WorkMS, 1e-6)
			require.InDelta(t, 1000*known.Backlog.Seconds(), x.BacklogMS, 1e-6)
			require.InDelta(t, 1000*known.RateAge.Seconds(), x.RateAgeMS, 1e-6)
			require.InDelta(t, known.Rate, x.Rate, 1e-9)
			w := pair{explained.Join(now, r), plain.Join(now, r)}
			require.Equal(t, w.b == nil, w.a == nil)
			require.Equal(t, w.b == nil, x.Rejected != "")
			require.Equal(t, w.b != nil, x.Position > 0)
			if w.b == nil {
				require.InDelta(t, 1000*known.RetryAfter.Seconds(), x.RetryAfterMS, 1e-6)
				both(func(q *admission.CostQueue) { q.Refused(now, r) })
			} else {
				require.InDelta(t, w.b.Deadline().Sub(now).Seconds()*1000, x.MayWaitMS, 1e-6)
				in = append(in, w)
			}
			if len(in) > 0 && rapid.Bool().Draw(t, "leaves") {
				explained.Leave(in[0].a)
				plain.Leave(in[0].b)
				in = in[1:]
			}
			if len(running) > 0 && rapid.Bool().Draw(t, "ends") {
				both(func(q *admission.CostQueue) { q.Completed(now, running[0], running[0].Work) })
				running = running[1:]
			}
		}
	})
}

// TestCostExplanationStartsNothing guards against an explanation that gives a waiting
// request its turn, or that counts as the first event of a queue.
func TestCostExplanationStartsNothing(t *testing.T) {
	q := admission.NewCostQueue()
	r := admission.Request{Kind: "k", Objective: time.Second, Came: start, Work: 20 * time.Millisecond}
	require.Equal(t, "cost", q.Explain(start, r).Order)
	require.Zero(t, q.Kinds())
	q.Started(start, r, nil)
	q.NoPlace(start)
	w := q.Join(start, r)
	require.NotNil(t, w)
	x := q.Explain(start, r)
	require.Equal(t, 2, x.Position)
	require.Equal(t, 1, q.Waiting())
	require.Empty(t, w.Turn())
}
