package kernel

import (
	"math"
	"time"
)

const (
	// freeFlaps is the number of flaps without a quiet period: an ordinary
	// restart, and one more.
	freeFlaps  = 1
	quietFirst = 2 * time.Second
	quietLast  = time.Minute
	// flapMemory is the time after which a flap counts half.
	flapMemory = time.Minute
)

// Damper holds back an instance that comes and goes. The zero value has seen no
// flap.
//
// An instance that answers and falls silent by turns would get work, lose it and
// move its neighbours' homes at each turn. Each further flap therefore doubles
// the quiet period before the instance is trusted again.
type Damper struct {
	score float64
	last  time.Time
	until time.Time
}

// Flap notes that the instance came back, and starts a quiet period.
func (d *Damper) Flap(now time.Time) {
	if !d.last.IsZero() {
		d.score *= math.Exp2(-now.Sub(d.last).Seconds() / flapMemory.Seconds())
	}
	d.score++
	d.last = now
	over := math.Round(d.score) - freeFlaps
	if over < 1 {
		return
	}
	quiet := quietFirst.Seconds() * math.Exp2(over-1)
	quiet = min(quiet, quietLast.Seconds())
	d.until = now.Add(time.Duration(quiet * float64(time.Second)))
}

// Quiet reports whether the instance is not to be trusted yet.
func (d *Damper) Quiet(now time.Time) bool { return now.Before(d.until) }
