package kernel

import (
	"cmp"
	"math"
	"slices"
)

const (
	// relTolerance is the relative and absTolerance the absolute change of a
	// number that does not justify a message; the larger of the two applies.
	relTolerance = 0.05
	absTolerance = 2
	// demandTolerance is the relative change of a demand that does not justify a
	// message.
	demandTolerance = 0.25
	// maxDemands is the most accounts in a digest; the heaviest are kept.
	maxDemands = 12
)

type (
	// Digest summarises a cell or a region for nodes outside it. Its size does
	// not grow with the number of endpoints.
	Digest struct {
		// Scope is the name of the cell or region.
		Scope string
		// Origin is the incarnation of the node that created the digest, and
		// Serial is the digest's sequence number at that node.
		Origin uint64
		Serial uint64
		// ListVersion is the newest version of the instance list known in the
		// scope.
		ListVersion uint64
		// Sums holds the load of each service.
		Sums []Sum
		// Absent holds the listed instances that are not live.
		Absent []Absence
		// Extra holds the live nodes that are not listed yet.
		Extra []Intro
		// Demands holds the demand of the heavy accounts.
		Demands []Demand
	}

	// Sum is the load of one service in the scope.
	Sum struct {
		Service string
		Live    int
		Load    Load
	}

	// Absence is a listed instance that is not live.
	Absence struct {
		Instance string
		State    State
	}
)

// Merge adds the digest of another scope to d.
func (d *Digest) Merge(o Digest) {
	d.ListVersion = max(d.ListVersion, o.ListVersion)
	for _, s := range o.Sums {
		d.add(s)
	}
	d.Absent = append(d.Absent, o.Absent...)
	d.Extra = append(d.Extra, o.Extra...)
	d.Demands = MergeDemands(d.Demands, o.Demands)
}

// SimilarTo reports whether two digests differ only by changes that do not justify a
// message.
func (d *Digest) SimilarTo(o *Digest) bool {
	if !d.SameInstances(o) || len(d.Sums) != len(o.Sums) || len(d.Demands) != len(o.Demands) {
		return false
	}
	for i, s := range d.Sums {
		t := o.Sums[i]
		if s.Service != t.Service || s.Live != t.Live || !approxEqualLoad(s.Load, t.Load) {
			return false
		}
	}
	for i, a := range d.Demands {
		if a.Account != o.Demands[i].Account || math.Abs(a.Rate-o.Demands[i].Rate) > demandTolerance*a.Rate {
			return false
		}
	}
	return true
}

// SameInstances reports whether two digests have the same list version and the same
// absent and extra instances.
func (d *Digest) SameInstances(o *Digest) bool {
	sameNode := func(a, b Intro) bool { return a.Instance == b.Instance }
	return d.ListVersion == o.ListVersion && slices.Equal(d.Absent, o.Absent) &&
		slices.EqualFunc(d.Extra, o.Extra, sameNode)
}

func (d *Digest) add(s Sum) {
	for i := range d.Sums {
		if d.Sums[i].Service == s.Service {
			d.Sums[i].Live += s.Live
			d.Sums[i].Load = d.Sums[i].Load.Add(s.Load)
			return
		}
	}
	d.Sums = append(d.Sums, s)
}

// MergeDemands sums two lists of demands by account. It returns the heaviest
// accounts, at most maxDemands, sorted by account.
func MergeDemands(a, b []Demand) []Demand {
	merged := slices.Concat(a, b)
	slices.SortFunc(merged, func(a, b Demand) int { return cmp.Compare(a.Account, b.Account) })
	out := merged[:0]
	for _, d := range merged {
		if n := len(out); n > 0 && out[n-1].Account == d.Account {
			out[n-1].Rate += d.Rate
			continue
		}
		out = append(out, d)
	}
	return heaviest(out)
}

func heaviest(list []Demand) []Demand {
	if len(list) <= maxDemands {
		return list
	}
	slices.SortStableFunc(list, func(a, b Demand) int { return cmp.Compare(b.Rate, a.Rate) })
	list = list[:maxDemands]
	slices.SortFunc(list, func(a, b Demand) int { return cmp.Compare(a.Account, b.Account) })
	return list
}

func approxEqualLoad(a, b Load) bool {
	return approxEqual(float64(a.Requests), float64(b.Requests)) && approxEqual(float64(a.Tokens), float64(b.Tokens))
}

func approxEqual(a, b float64) bool {
	return math.Abs(a-b) <= max(absTolerance, relTolerance*max(a, b))
}
