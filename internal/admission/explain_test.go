package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bulrushhinge.example/bulrushhinge/internal/admission"
)

// TestExplanationIsWhatHappens guards against an explanation that differs from what the
// queue does on the same state, and against one that changes it: the second queue is
// never asked to explain.
func TestExplanationIsWhatHappens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		explained, plain := admission.NewQueue(), admission.NewQueue()
		now := start
		type pair struct{ a, b *admission.Waiter }
		var in []pair
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			n := rapid.IntRange(0, 2).Draw(t, "kind")
			r := admission.Request{
				Kind: fmt.Sprint("k", n), Priority: n, Account: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "account"),
				Objective: time.Duration(100+400*n) * time.Millisecond,
			}
			x := explained.Explain(now, r)
			require.Equal(t, x, explained.Explain(now, r), "an explanation changes nothing")
			require.Equal(t, len(in), x.Waiting)
			require.Equal(t, plain.Kinds(), explained.Kinds())

			r.Excess = plain.Arrived(now, r)
			require.Equal(t, r.Excess, explained.Arrived(now, r))
			require.Equal(t, r.Excess, x.Excess)
			mayTry := plain.MayTry(now, r)
			require.Equal(t, mayTry, explained.MayTry(now, r))
			require.Equal(t, mayTry, x.MayTry)
			if mayTry && rapid.Bool().Draw(t, "place") {
				explained.Admitted(now, r)
				plain.Admitted(now, r)
				continue
			}
			w := pair{explained.Join(now, r), plain.Join(now, r)}
			require.Equal(t, w.b == nil, w.a == nil)
			require.Equal(t, w.b == nil, x.Rejected != "")
			require.Equal(t, w.b != nil, x.Position > 0)
			if w.b == nil {
				explained.Refused(now, r)
				plain.Refused(now, r)
			} else {
				require.Equal(t, w.b.Deadline(), w.a.Deadline())
				require.InDelta(t, w.b.Deadline().Sub(now).Seconds()*1000, x.MayWaitMS, 1e-6)
				in = append(in, w)
			}
			if rapid.Bool().Draw(t, "none") {
				explained.NoPlace(now)
				plain.NoPlace(now)
			}
			if len(in) > 0 && rapid.Bool().Draw(t, "leaves") {
				explained.Leave(in[0].a)
				plain.Leave(in[0].b)
				in = in[1:]
			}
		}
	})
}

// TestExplainedPosition guards against a position other than the one at which the
// request gets its turn.
func TestExplainedPosition(t *testing.T) {
	q := admission.NewQueue()
	usual := admission.Request{Kind: "k", Objective: time.Second}
	urgent := admission.Request{Kind: "k", Objective: time.Second, AccountPriority: -1, Account: "a"}
	for range 40 {
		q.Arrived(start, usual)
		q.Admitted(start, usual)
	}
	for range 20 {
		q.Arrived(start, usual)
		require.NotNil(t, q.Join(start, usual))
	}
	x := q.Explain(start, usual)
	require.Equal(t, 21, x.Position, "also beyond the size of a round")
	require.False(t, x.MayTry)
	require.Equal(t, 1, q.Explain(start, urgent).Position)
	require.Equal(t, 20, q.Waiting())
	require.NotNil(t, x.ExpectedWaitMS)
	require.Nil(t, q.Explain(start, admission.Request{Kind: "new", Objective: time.Second}).ExpectedWaitMS)
}
