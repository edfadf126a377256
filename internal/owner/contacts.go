package owner

import (
	"sync"
	"time"
)

const (
	// avoidBusy is how long an owner that declined a request is not asked, and
	// avoidSilent how long one that did not answer.
	avoidBusy   = 200 * time.Millisecond
	avoidSilent = time.Second
	// forgetContacts is the number of owners from which unused ones are forgotten.
	forgetContacts = 1024
)

// Outcomes of an offer to an owner.
const (
	// Taken means that the owner has accepted the request.
	Taken Outcome = iota
	// Declined means that it has answered that it does not take it.
	Declined
	// Silent means that it was not reached, or did not answer in time.
	Silent
	// Ended means that the caller has left, or its time was over, before an answer. It
	// says nothing about the owner.
	Ended
)

type (
	// Outcome is how an offer ended.
	Outcome int

	// Contacts knows which owners may be asked. After an owner was silent, one request
	// at a time tries whether it answers again, so that the others do not wait for it.
	// Contacts is safe for concurrent use.
	Contacts struct {
		mu     sync.Mutex
		byName map[string]*contact
	}

	contact struct {
		// active are the requests of this node that are offered to the owner or that
		// it runs.
		active     int
		avoidUntil time.Time
		// silent says that it has not answered since it was silent, trying that a
		// request tries it.
		silent bool
		trying bool
	}
)

// NewContacts returns Contacts that have asked no owner yet.
func NewContacts() *Contacts { return &Contacts{byName: map[string]*contact{}} }

// Begin reports whether an owner may be asked. If so, Offered must follow.
func (c *Contacts) Begin(now time.Time, name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.byName[name]
	if o == nil {
		c.forget(now)
		o = &contact{}
		c.byName[name] = o
	}
	if !o.mayAsk(now) {
		return false
	}
	o.active++
	o.trying = o.silent
	return true
}

// MayAsk reports whether Begin would allow that an owner is asked. It changes nothing.
func (c *Contacts) MayAsk(now time.Time, name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.byName[name]
	return o == nil || o.mayAsk(now)
}

func (o *contact) mayAsk(now time.Time) bool {
	return !now.Before(o.avoidUntil) && !(o.silent && o.trying)
}

// Offered records the outcome of an offer. Done must follow if the request was taken.
func (c *Contacts) Offered(now time.Time, name string, out Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.byName[name]
	o.trying = false
	if out != Taken {
		o.active--
	}
	switch out {
	case Declined:
		o.silent, o.avoidUntil = false, now.Add(avoidBusy)
	case Silent:
		o.silent, o.avoidUntil = true, now.Add(avoidSilent)
	case Taken:
		o.silent = false
	case Ended:
	}
}

// Done ends a request that an owner had taken.
func (c *Contacts) Done(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byName[name].active--
}

// Lost reports whether an owner has not answered since an offer to it was not answered.
func (c *Contacts) Lost(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.byName[name]
	return o != nil && o.silent
}

// Active returns the requests of this node that owners have, by the owners' names.
func (c *Contacts) Active() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	active := map[string]int{}
	for name, o := range c.byName {
		if o.active > 0 {
			active[name] = o.active
		}
	}
	return active
}

// Known returns the number of owners that are remembered.
func (c *Contacts) Known() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.byName)
}

func (c *Contacts) forget(now time.Time) {
	if len(c.byName) < forgetContacts {
		return
	}
	for name, o := range c.byName {
		if o.active == 0 && now.After(o.avoidUntil) {
			delete(c.byName, name)
		}
	}
}

// String returns the outcome's name in metrics.
func (o Outcome) String() string { return [...]string{"taken", "declined", "silent", "ended"}[o] }
