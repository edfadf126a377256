package permit

import (
	"math"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

// DefaultMargin is the default Margin of a BoundRule.
const DefaultMargin = 0.5

type (
	// Rule decides whether an endpoint may run one more request.
	Rule interface {
		// Fits reports whether an endpoint of the pool with the given load may run
		// one more request of the given number of tokens. Largest is the token
		// count of the largest request known to be in progress in the pool.
		Fits(p *kernel.Pool, load kernel.Load, tokens, largest int) bool
	}

	// BoundRule limits an endpoint's load to a multiple of the mean load, both in
	// requests and in tokens.
	//
	// With a small mean no placement can hold the multiple, as one request is more
	// than the room that it leaves above the mean. The rule therefore uses at least
	// the smallest mean at which the multiple leaves room for one request, and for
	// the tokens of the largest request in progress.
	BoundRule struct {
		// Margin is the fraction of the distance from the mean to the bound up to
		// which the rule admits. When requests elsewhere end after an admission,
		// the mean falls; without a margin the endpoint would then be over the
		// bound.
		Margin float64
	}

	ceilRule struct{}
)

// NewBoundRule returns a BoundRule with the default margin.
func NewBoundRule() BoundRule { return BoundRule{Margin: DefaultMargin} }

// NewCeilRule returns the Rule that counts requests only and rounds the limit
// up.
func NewCeilRule() Rule { return ceilRule{} }

// Fits reports whether both requests and tokens stay under the bound.
func (r BoundRule) Fits(p *kernel.Pool, load kernel.Load, tokens, largest int) bool {
	return r.under(p, load.Requests, p.Total.Requests, 1, 1) &&
		r.under(p, load.Tokens, p.Total.Tokens, tokens, max(tokens, largest))
}

// under reports whether a load plus some units stays under the bound, where largest
// is the size of the largest request in the same units.
func (r BoundRule) under(p *kernel.Pool, load, total, units, largest int) bool {
	headroom := p.Bound - 1
	if headroom <= 0 {
		return load <= 0
	}
	mean := float64(total+units) / float64(max(p.Live, 1))
	minMean := float64(largest) / headroom
	limit := max(p.Bound*minMean, (1+r.Margin*headroom)*mean)
	// An endpoint below the mean may always take one more request. Otherwise no
	// endpoint of an evenly loaded pool could.
	return float64(load+units) <= limit || float64(load) < mean
}

// Fits reports whether the requests stay under the bound times the mean with
// one more request, rounded up.
func (ceilRule) Fits(p *kernel.Pool, load kernel.Load, _, _ int) bool {
	mean := float64(p.Total.Requests+1) / float64(max(p.Live, 1))
	return load.Requests+1 <= int(math.Ceil(p.Bound*mean))
}
