package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Standings of a request whose floor or account decides before its cost density.
const (
	// standingExcess is that of an account's excess.
	standingExcess standing = iota
	// standingUsual is that of all other requests.
	standingUsual
	// standingFloor is that of requests whose kind, account or size class is served
	// too rarely.
	standingFloor
)

// densityTolerance is the ratio up to which two cost densities count as equal: work
// is an estimate, and requests that differ by less are served by arrival.
const densityTolerance = 1.1

type (
	// standing comes before the cost density when it is decided which request is late.
	standing int

	// job is what a plan knows of a waiting request.
	job struct {
		// due is when the request must have a slot in order to begin within its
		// objective, and latest when it must have one in order to end before its
		// deadline; both since the queue's first event.
		due    time.Duration
		latest time.Duration
		// work is the expected time in a slot, in seconds.
		work     float64
		weight   float64
		standing standing
		// seq is the order of arrival.
		seq uint64
		// late says that the request is not planned to begin within its objective.
		late bool
		// wasLate is late before the plan: a late request is planned again only if it
		// is as likely to be in time as an arriving one has to be.
		wasLate bool
		// first says that the request waits as the first one of its kind, for a short
		// time anyway.
		first bool
		// waiter is whose job it is.
		waiter *Waiter
	}

	// jobHeap is a binary heap with the job on top that costs least if it is late.
	jobHeap []*job
)

// density is the request's cost density: what it is worth per second of a slot.
func (j *job) density() float64 { return j.weight / j.work }

// joinShare is the fraction of the time left until the due time that the request may be
// expected to wait in order to be planned.
func (j *job) joinShare() float64 {
	if j.standing == standingFloor {
		return floorJoinShare
	}
	return joinShare
}

// cheaper reports whether it costs callers less if j is late than if other is: by
// standing, then by cost density; of equal ones, the one that arrived last.
func (j *job) cheaper(other *job) bool {
	if j.standing != other.standing {
		return j.standing < other.standing
	}
	a, b := j.density(), other.density()
	if a*densityTolerance < b || b*densityTolerance < a {
		return a < b
	}
	return j.seq > other.seq
}

// precedes orders planned jobs: by due time, then by arrival, an account's excess last.
func (j *job) precedes(other *job) int {
	excess, otherExcess := j.standing == standingExcess, other.standing == standingExcess
	if excess != otherExcess {
		if excess {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(j.due, other.due), cmp.Compare(j.seq, other.seq))
}

// plan marks those jobs as late that cannot all begin within their objectives, so that
// the late ones cost least (the Moore-Hodgson rule, with weights), and returns the
// work of the others, in seconds. The jobs are ordered as by precedes; rate is how many
// seconds of work the slots complete in a second, and has to be positive; first is the
// mean work of the requests in the slots.
//
// A job is not planned if that would make jobs late that are together worth more.
func plan(now time.Duration, jobs []*job, rate, first float64) float64 {
	planned := make(jobHeap, 0, len(jobs))
	total := 0.0
	var removed []*job
	for _, j := range jobs {
		allowed := (j.due - now).Seconds()
		if j.wasLate {
			allowed *= j.joinShare()
		}
		budget := allowed*rate - first
		j.late = budget < 0
		removed = removed[:0]
		for !j.late && total > budget {
			if j.cheaper(planned[0]) {
				j.late = true
				break
			}
			v := planned.pop()
			v.late = true
			total -= v.work
			removed = append(removed, v)
		}
		if j.late || !worthwhile(j, removed) {
			j.late = true
			for _, v := range removed {
				v.late = false
				total += v.work
				planned.push(v)
			}
			continue
		}
		planned.push(j)
		total += j.work
	}
	return total
}

// worthwhile reports whether a job may be planned in place of others: they are worth
// less together, or their standing is lower.
func worthwhile(j *job, others []*job) bool {
	lower := func(o *job) bool { return o.standing < j.standing }
	return len(others) < 2 || worth(others) <= j.weight || slices.ContainsFunc(others, lower)
}

// worth is the weight of all jobs together.
func worth(jobs []*job) float64 {
	sum := 0.0
	for _, j := range jobs {
		sum += j.weight
	}
	return sum
}

// unservable returns the jobs of the late ones that cannot get a slot before their
// latest time. They are ordered by what they cost, the highest first; planned is
// the work of the planned jobs, which precede all of them, and spare how much work the
// slots complete in a second beyond what arrives and is planned.
func unservable(now time.Duration, late []*job, planned, spare float64) []*job {
	var none []*job
	for _, j := range late {
		if !j.first && now+drainTime(planned, spare) > j.latest {
			none = append(none, j)
			continue
		}
		planned += j.work
	}
	return none
}

// drainTime is the time in which some work, in seconds, is done at a rate.
func drainTime(work, rate float64) time.Duration {
	const longest = time.Hour
	if rate <= 0 || work/rate > longest.Seconds() {
		return longest
	}
	return time.Duration(math.Ceil(work / rate * float64(time.Second)))
}

func (h *jobHeap) push(j *job) {
	*h = append(*h, j)
	list := *h
	for i := len(list) - 1; i > 0; {
		parent := (i - 1) / 2
		if !list[i].cheaper(list[parent]) {
			return
		}
		list[i], list[parent] = list[parent], list[i]
		i = parent
	}
}

func (h *jobHeap) pop() *job {
	list := *h
	top, last := list[0], len(list)-1
	list[0] = list[last]
	list = list[:last]
	*h = list
	for i := 0; ; {
		child := 2*i + 1
		if child >= last {
			return top
		}
		if child+1 < last && list[child+1].cheaper(list[child]) {
			child++
		}
		if !list[child].cheaper(list[i]) {
			return top
		}
		list[i], list[child] = list[child], list[i]
		i = child
	}
}
