package kernel

import (
	"math"
	"time"
)

const (
	// freeFlaps is the number of flaps that start no hold-down, so that an
	// ordinary restart is not penalized.
	freeFlaps   = 1
	minHoldDown = 2 * time.Second
	maxHoldDown = time.Minute
	// flapHalfLife is the half-life of a flap's weight.
	flapHalfLife = time.Minute
)

// Damper damps the flapping of an instance. The zero value has recorded no flap.
//
// An instance that alternates between responsive and unresponsive would get work,
// lose it and change the owners of its neighbours' endpoints each time. Each
// further flap therefore doubles the hold-down before it is trusted again.
type Damper struct {
	penalty  float64
	lastFlap time.Time
	until    time.Time
}

// Flap records that the instance came back, and starts a hold-down unless the
// flap is free.
func (d *Damper) Flap(now time.Time) {
	if !d.lastFlap.IsZero() {
		d.penalty *= math.Exp2(-now.Sub(d.lastFlap).Seconds() / flapHalfLife.Seconds())
	}
	d.penalty++
	d.lastFlap = now
	excess := math.Round(d.penalty) - freeFlaps
	if excess < 1 {
		return
	}
	holdDown := minHoldDown.Seconds() * math.Exp2(excess-1)
	holdDown = min(holdDown, maxHoldDown.Seconds())
	d.until = now.Add(time.Duration(holdDown * float64(time.Second)))
}

// HeldDown reports whether the instance is in a hold-down.
func (d *Damper) HeldDown(now time.Time) bool { return now.Before(d.until) }
