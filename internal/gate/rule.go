package gate

import (
	"math"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

// DefaultMargin is the part of the bound that a BoundRule uses.
const DefaultMargin = 0.5

type (
	// Rule decides whether an endpoint may run one more request.
	Rule interface {
		// Fits reports whether an endpoint of the pool with the given load may
		// run one more request of so many tokens. Largest is the tokens of the
		// largest request known to be in progress at the pool.
		Fits(p *kernel.Pool, load kernel.Load, tokens, largest int) bool
	}

	// BoundRule holds an endpoint under a multiple of the mean load, both in
	// requests and in tokens.
	//
	// Where the mean is small, no placement can hold the multiple: one request
	// is more than what it leaves above the mean. There the mean counts as the
	// smallest at which the multiple leaves room for one request, and for the
	// tokens of the largest request in progress.
	BoundRule struct {
		// Margin is the part of the way from the mean to the bound that the
		// rule admits up to. Requests elsewhere end after one was admitted,
		// and the mean falls; without a margin the endpoint would then be over
		// the bound.
		Margin float64
	}

	ceilRule struct{}
)

// NewBoundRule returns a BoundRule with the default margin.
func NewBoundRule() BoundRule { return BoundRule{Margin: DefaultMargin} }

// NewCeilRule returns the Rule that counts requests only and rounds the limit
// up.
func NewCeilRule() Rule { return ceilRule{} }

// Fits reports whether both kinds of load stay under the bound.
func (r BoundRule) Fits(p *kernel.Pool, load kernel.Load, tokens, largest int) bool {
	return r.under(p, load.Requests, p.Total.Requests, 1, 1) &&
		r.under(p, load.Tokens, p.Total.Tokens, tokens, max(tokens, largest))
}

// under reports whether a load stays under the bound with some units more,
// where the largest piece of work is so many units.
func (r BoundRule) under(p *kernel.Pool, load, total, units, largest int) bool {
	above := p.Bound - 1
	if above <= 0 {
		return load <= 0
	}
	mean := float64(total+units) / float64(max(p.Live, 1))
	small := float64(largest) / above
	limit := max(p.Bound*small, (1+r.Margin*above)*mean)
	// An endpoint below the mean may always take one more, or a pool of even
	// loads would be full.
	return float64(load+units) <= limit || float64(load) < mean
}

// Fits reports whether the requests stay under the bound times the mean with
// one more request, rounded up.
func (ceilRule) Fits(p *kernel.Pool, load kernel.Load, _, _ int) bool {
	mean := float64(p.Total.Requests+1) / float64(max(p.Live, 1))
	return load.Requests+1 <= int(math.Ceil(p.Bound*mean))
}
