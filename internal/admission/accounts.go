package admission

import (
	"maps"
	"math"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/rates"
)

const (
	// usualMemory is the time over which it is learnt what accounts usually ask
	// for: long against a surge, short against the hours over which it changes.
	usualMemory = time.Minute
	// surgeFactor is how many times its usual an account may ask for before what
	// is more counts as excess, and surgeSlack how many requests beside that: of
	// steady loads of 0.2 to 50 requests a second, less than one in 500 is more.
	surgeFactor = 2.0
	surgeSlack  = 2.0
	// usualFactor is how many times its usual an account may ask for and have it
	// learnt as usual. Were all learnt, a second of a surge shortly after a start
	// would pass for usual. What grows for good is learnt in some minutes.
	usualFactor = 1.25
	// floorShare is the part of all requests' served share under which an account's
	// is not to fall: whoever surges is served half as often as all.
	floorShare = 0.5
	// alone stands for growth without bound: who is alone takes nothing from others.
	alone = 1e9
	// maxAccounts is from how many accounts on those are forgotten that ask for
	// nothing: 1,600 are in steady use.
	maxAccounts = 4096
)

type (
	// accounts knows what client accounts usually ask for.
	accounts struct {
		byName map[string]*account
		all    account
	}

	// account is what one asks for, usually, over usualMemory, and lately, over
	// rateMemory; regular are those of late that were no excess. Asked and served
	// are over shareMemory.
	account struct {
		since   time.Time
		usual   rates.Decayed
		lately  rates.Decayed
		regular rates.Decayed
		asked   rates.Decayed
		served  rates.Decayed
	}
)

func newAccounts() *accounts {
	return &accounts{byName: map[string]*account{}, all: newAccount(time.Time{})}
}

func newAccount(now time.Time) account {
	return account{
		since: now, usual: rates.Decayed{Memory: usualMemory},
		lately: rates.Decayed{Memory: rateMemory}, regular: rates.Decayed{Memory: rateMemory},
		asked: rates.Decayed{Memory: shareMemory}, served: rates.Decayed{Memory: shareMemory},
	}
}

// asked counts a request of an account, and reports whether it is excess: more
// than a multiple of the account's usual, beyond what the others' requests have
// grown by, unless the account is served much less often than all.
//
// Where places are short, they go to who asks. One account that asks for many
// times its usual would get most of them, and the others' callers be refused for
// it. What it asks beyond its measure goes behind all others.
func (a *accounts) asked(now time.Time, name string) bool {
	if name == "" {
		return false
	}
	one := a.byName[name]
	if one == nil {
		a.forget(now)
		first := newAccount(now)
		one = &first
		a.byName[name] = one
	}
	if a.all.since.IsZero() {
		a.all.since = now
	}
	measure := one.expected(now) * a.growth(one, now)
	usual := one.lately.Get(now) < usualFactor*measure+surgeSlack
	excess := one.regular.Get(now) >= surgeFactor*measure+surgeSlack && one.share(now) >= floorShare*a.all.share(now)
	for _, c := range []*account{one, &a.all} {
		c.add(now, usual, excess)
	}
	return excess
}

// served counts a request of an account that got a place.
func (a *accounts) served(now time.Time, name string) {
	if one := a.byName[name]; one != nil {
		one.served.Add(now)
		a.all.served.Add(now)
	}
}

func (a *account) add(now time.Time, usual, excess bool) {
	a.asked.Add(now)
	a.lately.Add(now)
	if usual {
		a.usual.Add(now)
	}
	if !excess {
		a.regular.Add(now)
	}
}

// share is the part of the account's requests that were served lately.
func (a *account) share(now time.Time) float64 { return a.served.Get(now) / max(a.asked.Get(now), 1) }

// expected is how many requests of the account would come in rateMemory as a
// rule. Of usualMemory, only what has passed since its first one counts.
func (a *account) expected(now time.Time) float64 {
	const part = float64(rateMemory) / float64(usualMemory)
	known := 1 - math.Exp(-float64(now.Sub(a.since))/float64(usualMemory))
	return a.usual.Get(now) * part / max(known, part)
}

// growth is how many times their usual the other accounts ask for, 1 at least,
// and alone where there is no other.
func (a *accounts) growth(but *account, now time.Time) float64 {
	usual := a.all.expected(now) - but.expected(now)
	if usual <= 0 {
		return alone
	}
	return max((a.all.lately.Get(now)-but.lately.Get(now))/usual, 1)
}

func (a *accounts) forget(now time.Time) {
	if len(a.byName) < maxAccounts {
		return
	}
	maps.DeleteFunc(a.byName, func(_ string, c *account) bool { return c.usual.Get(now) < asksForgotten })
}
