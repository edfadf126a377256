package admission

import (
	"math"
	"time"
)

// decayed is a count that forgets.
type decayed struct {
	memory time.Duration
	value  float64
	at     time.Time
}

func (d *decayed) get(now time.Time) float64 {
	if d.value == 0 {
		return 0
	}
	return d.value * math.Exp(-now.Sub(d.at).Seconds()/d.memory.Seconds())
}

func (d *decayed) add(now time.Time) { d.value, d.at = d.get(now)+1, now }
