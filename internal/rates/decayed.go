package rates

import (
	"math"
	"time"
)

// Decayed is an exponentially decaying count.
type Decayed struct {
	// TimeConstant is the time in which the count decays to about a
	// third.
	TimeConstant time.Duration

	value float64
	at    time.Time
}

// Get returns the count now.
func (d *Decayed) Get(now time.Time) float64 {
	if d.value == 0 {
		return 0
	}
	return d.value * math.Exp(-now.Sub(d.at).Seconds()/d.TimeConstant.Seconds())
}

// Add increments the count.
func (d *Decayed) Add(now time.Time) { d.value, d.at = d.Get(now)+1, now }
