package admission

import (
	"maps"
	"math"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/rates"
)

const (
	// baselineWindow is the time over which the usual request rate of accounts is
	// learned: long compared with a surge, short compared with the hours over which
	// the rate changes.
	baselineWindow = time.Minute
	// surgeFactor is the multiple of its usual number of requests above which an
	// account's requests count as excess, and surgeSlack a number of requests in
	// addition: with steady loads of 0.2 to 50 requests a second, less than one
	// request in 500 exceeds that.
	surgeFactor = 2.0
	surgeSlack  = 2.0
	// baselineFactor is the multiple of its usual number up to which an account's
	// requests are learned as usual. If all were learned, a second of a surge shortly
	// after a start would count as usual. Permanent growth is learned within some
	// minutes.
	baselineFactor = 1.25
	// minServedRatio is the fraction of the served share of all requests below which
	// an account's served share must not fall: a surging account is served half as
	// often as all.
	minServedRatio = 0.5
	// unboundedGrowth is the growth of the others if there is only one account: it
	// takes nothing from others.
	unboundedGrowth = 1e9
	// maxAccounts is the number of accounts from which idle ones are evicted: 1,600
	// are in steady use.
	maxAccounts = 4096
)

type (
	// accounts knows the usual request rates of client accounts.
	accounts struct {
		byName map[string]*account
		all    account
	}

	// account counts the requests of one account: baseline over baselineWindow,
	// recent and regular over rateWindow, requested and served over shareWindow.
	// Regular are the requests that were no excess.
	account struct {
		since     time.Time
		baseline  rates.Decayed
		recent    rates.Decayed
		regular   rates.Decayed
		requested rates.Decayed
		served    rates.Decayed
	}
)

func newAccounts() *accounts {
	return &accounts{byName: map[string]*account{}, all: newAccount(time.Time{})}
}

func newAccount(now time.Time) account {
	return account{
		since: now, baseline: rates.Decayed{TimeConstant: baselineWindow},
		recent: rates.Decayed{TimeConstant: rateWindow}, regular: rates.Decayed{TimeConstant: rateWindow},
		requested: rates.Decayed{TimeConstant: shareWindow}, served: rates.Decayed{TimeConstant: shareWindow},
	}
}

// countRequest counts a request of an account, and reports whether it is excess:
// above a multiple of the account's usual number, scaled by the growth of the others'
// requests, unless the account is served much less often than all.
//
// Without this, scarce places would go to whoever sends the most requests. One
// account that sends many times its usual number would get most of them, and the
// callers of the others would be refused. Its excess therefore comes after all other
// requests.
func (a *accounts) countRequest(now time.Time, name string) bool {
	if name == "" {
		return false
	}
	one := a.byName[name]
	if one == nil {
		a.evict(now)
		added := newAccount(now)
		one = &added
		a.byName[name] = one
	}
	if a.all.since.IsZero() {
		a.all.since = now
	}
	expected := one.expected(now) * a.growth(one, now)
	learn := one.recent.Get(now) < baselineFactor*expected+surgeSlack
	excess := one.regular.Get(now) >= surgeFactor*expected+surgeSlack && one.servedShare(now) >= minServedRatio*a.all.servedShare(now)
	for _, c := range []*account{one, &a.all} {
		c.add(now, learn, excess)
	}
	return excess
}

// countServed counts a request of an account that got a place.
func (a *accounts) countServed(now time.Time, name string) {
	if one := a.byName[name]; one != nil {
		one.served.Add(now)
		a.all.served.Add(now)
	}
}

func (a *account) add(now time.Time, learn, excess bool) {
	a.requested.Add(now)
	a.recent.Add(now)
	if learn {
		a.baseline.Add(now)
	}
	if !excess {
		a.regular.Add(now)
	}
}

// servedShare is the fraction of the account's recent requests that were served.
func (a *account) servedShare(now time.Time) float64 {
	return a.served.Get(now) / max(a.requested.Get(now), 1)
}

// expected is the usual number of the account's requests in rateWindow. Of
// baselineWindow, only the time since the account's first request counts.
func (a *account) expected(now time.Time) float64 {
	const part = float64(rateWindow) / float64(baselineWindow)
	observed := 1 - math.Exp(-float64(now.Sub(a.since))/float64(baselineWindow))
	return a.baseline.Get(now) * part / max(observed, part)
}

// growth is the ratio of the other accounts' recent requests to their usual number,
// at least 1; unboundedGrowth if there are no others.
func (a *accounts) growth(except *account, now time.Time) float64 {
	others := a.all.expected(now) - except.expected(now)
	if others <= 0 {
		return unboundedGrowth
	}
	return max((a.all.recent.Get(now)-except.recent.Get(now))/others, 1)
}

func (a *accounts) evict(now time.Time) {
	if len(a.byName) < maxAccounts {
		return
	}
	maps.DeleteFunc(a.byName, func(_ string, c *account) bool { return c.baseline.Get(now) < negligibleRequests })
}
