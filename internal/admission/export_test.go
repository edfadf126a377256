package admission

import (
	"slices"
	"time"
)

// PlanJob is a request of a plan under test.
type PlanJob struct {
	Due      time.Duration
	Work     float64
	Weight   float64
	Standing int
}

// Plan returns which jobs are late, in the order of the jobs, and the planned work.
func Plan(now time.Duration, jobs []PlanJob, rate, first float64) (late []bool, planned float64) {
	all := make([]*job, len(jobs))
	for i, j := range jobs {
		all[i] = &job{due: j.Due, work: j.Work, weight: j.Weight, standing: standing(j.Standing), seq: uint64(i)}
	}
	sorted := slices.SortedFunc(slices.Values(all), (*job).precedes)
	planned = plan(now, sorted, rate, first)
	for _, j := range all {
		late = append(late, j.late)
	}
	return late, planned
}

// SizeClasses returns the size classes of works, in seconds, after all have been learned.
func SizeClasses(works []float64) []int {
	k := newCostKind()
	for _, w := range works {
		k.learnSize(w)
	}
	classes := make([]int, len(works))
	for i, w := range works {
		classes[i] = k.size(w)
	}
	return classes
}
