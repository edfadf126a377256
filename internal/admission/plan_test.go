package admission_test

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bulrushhinge.example/bulrushhinge/internal/admission"
)

// feasible reports whether those jobs of a set all start by their due times in order of
// these.
func feasible(jobs []admission.PlanJob, in func(i int) bool, rate float64) bool {
	var order []int
	for i := range jobs {
		if in(i) {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(min(jobs[b].Standing, 1), min(jobs[a].Standing, 1)), cmp.Compare(jobs[a].Due, jobs[b].Due))
	})
	work := 0.0
	for _, i := range order {
		if work > jobs[i].Due.Seconds()*rate+1e-9 {
			return false
		}
		work += jobs[i].Work
	}
	return true
}

func drawJobs(t *rapid.T, equal bool) []admission.PlanJob {
	jobs := make([]admission.PlanJob, rapid.IntRange(0, 9).Draw(t, "jobs"))
	for i := range jobs {
		jobs[i] = admission.PlanJob{Due: time.Duration(rapid.IntRange(-2, 12).Draw(t, "due")) * time.Second, Work: 2, Weight: 1, Standing: 1}
		if !equal {
			jobs[i].Work = rapid.Float64Range(0.1, 5).Draw(t, "work")
			jobs[i].Weight = rapid.SampledFrom([]float64{1, 0.5, 0.25}).Draw(t, "weight")
			jobs[i].Standing = rapid.IntRange(0, 2).Draw(t, "standing")
		}
	}
	return jobs
}

// Guards against planned requests that cannot all begin in time.
func TestPlannedRequestsAreInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		jobs, rate := drawJobs(t, false), rapid.Float64Range(0.2, 4).Draw(t, "rate")
		late, planned := admission.Plan(0, jobs, rate, 0)
		require.True(t, feasible(jobs, func(i int) bool { return !late[i] }, rate))
		sum := 0.0
		for i, j := range jobs {
			if !late[i] {
				sum += j.Work
			}
		}
		require.InDelta(t, sum, planned, 1e-9)
	})
}

// Guards against plans of fewer equal requests than can be in time.
func TestPlanOfEqualRequestsIsLargest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		jobs, rate := drawJobs(t, true), rapid.Float64Range(0.2, 4).Draw(t, "rate")
		late, _ := admission.Plan(0, jobs, rate, 0)
		planned, most := 0, 0
		for i := range jobs {
			if !late[i] {
				planned++
			}
		}
		for set := range 1 << len(jobs) {
			if feasible(jobs, func(i int) bool { return set>>i&1 == 1 }, rate) {
				most = max(most, bits.OnesCount(uint(set)))
			}
		}
		require.Equal(t, most, planned)
	})
}

// Each case says which of several requests that cannot all be in time is late.
func TestLateRequestCostsLeast(t *testing.T) {
	const second = time.Second
	usual := admission.PlanJob{Due: second, Work: 1, Weight: 1, Standing: 1}
	with := func(change func(j *admission.PlanJob)) admission.PlanJob {
		j := usual
		change(&j)
		return j
	}
	cases := []struct {
		name string
		jobs []admission.PlanJob
		want []bool
	}{
		{"of equal ones, the last to arrive", []admission.PlanJob{usual, usual, usual}, []bool{false, false, true}},
		{"the less urgent", []admission.PlanJob{with(func(j *admission.PlanJob) { j.Weight = 0.5 }), usual, usual}, []bool{true, false, false}},
		{"the larger", []admission.PlanJob{with(func(j *admission.PlanJob) { j.Work = 2 }), usual, usual}, []bool{true, false, false}},
		{"the usual before one at its floor", []admission.PlanJob{with(func(j *admission.PlanJob) { j.Weight, j.Standing = 0.5, 2 }), usual, usual}, []bool{false, false, true}},
		{"an account's excess first", []admission.PlanJob{with(func(j *admission.PlanJob) { j.Weight, j.Standing = 9, 0 }), usual, usual}, []bool{true, false, false}},
		{"one that cannot be in time anyway", []admission.PlanJob{with(func(j *admission.PlanJob) { j.Due = -second }), usual, usual}, []bool{true, false, false}},
		{
			"one, not several that are worth more", []admission.PlanJob{
				with(func(j *admission.PlanJob) { j.Work, j.Weight, j.Due = 0.1, 0.05, 0 }),
				with(func(j *admission.PlanJob) { j.Work, j.Weight, j.Due = 1, 0.6, second/10 }),
				with(func(j *admission.PlanJob) { j.Work, j.Weight, j.Due = 0.9, 0.64, second/10 }),
			}, []bool{false, false, true},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			late, _ := admission.Plan(0, c.jobs, 1, 0)
			require.Equal(t, c.want, late)
		})
	}
}

// Guards against size classes that hold far more or fewer requests than they should,
// and against classes of requests that are alike.
func TestSizeClasses(t *testing.T) {
	random, works := newRandom(3), make([]float64, 20_000)
	for i := range works {
		works[i] = math.Exp(1.5 * random.NormFloat64())
	}
	counts := map[int]float64{}
	for _, c := range admission.SizeClasses(works) {
		counts[c]++
	}
	require.InDelta(t, 0.1, counts[2]/float64(len(works)), 0.05)
	require.InDelta(t, 0.2, counts[1]/float64(len(works)), 0.1)
	for i := range works {
		works[i] = 1 + 0.1*random.Float64()
	}
	for _, c := range admission.SizeClasses(works) {
		require.Zero(t, c)
	}
}

// Guards against estimates that do not follow the number of tokens, or leave the range
// of what was seen.
func TestWorkFollowsTokens(t *testing.T) {
	e := admission.NewWorkEstimator()
	require.Zero(t, e.Work("a", 100))
	random := newRandom(1)
	for range 500 {
		tokens := random.IntN(2000)
		e.Observe("a", tokens, 100*time.Millisecond+time.Duration(tokens)*time.Millisecond)
		e.Observe("plain", 0, 30*time.Millisecond)
	}
	require.InDelta(t, 0.6, e.Work("a", 500).Seconds(), 0.05)
	require.InDelta(t, 1.6, e.Work("a", 1500).Seconds(), 0.05)
	require.Less(t, e.Work("a", 1_000_000), 12*time.Second)
	require.Greater(t, e.Work("a", 0), 50*time.Millisecond)
	require.InDelta(t, 0.03, e.Work("plain", 0).Seconds(), 0.001)
}
