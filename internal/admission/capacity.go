package admission

import (
	"math"
	"time"
)

const (
	// slotsWindow is the time over which the number of slots in use is averaged while
	// none is free: long compared with a request of a plain service, short compared
	// with a change of the number of endpoints.
	slotsWindow = 500 * time.Millisecond
	// speedWindow is the same for the ratio of expected to actual time in a slot.
	speedWindow = time.Second
	// stallFactor is the number of mean intervals without a completion after which the
	// rate is taken to fall: of exponentially distributed intervals, one in 50 is
	// longer than four means.
	stallFactor = 4
)

type (
	// flow is an exponentially decaying sum.
	flow struct {
		window time.Duration
		sum    float64
		at     time.Duration
	}

	// capacity estimates the rate at which slots complete work from how many are in
	// use while none is free, so that it is known at once and does not depend on how
	// many requests arrive.
	capacity struct {
		// running is the number of slots in use now, and slots their mean while none
		// was free.
		running int
		slots   float64
		at      time.Duration
		// full says that none is free since the latest event.
		full bool
		// expected and actual are the times in slots of completed requests, in
		// seconds, and completions their number, all over speedWindow.
		expected, actual, completions flow
		// completed is when a request last completed, or the first one started.
		completed time.Duration
	}
)

func (f *flow) get(now time.Duration) float64 {
	if f.sum == 0 {
		return 0
	}
	return f.sum * math.Exp(-float64(now-f.at)/float64(f.window))
}

func (f *flow) add(now time.Duration, n float64) { f.sum, f.at = f.get(now)+n, now }

func newCapacity() capacity {
	return capacity{expected: flow{window: speedWindow}, actual: flow{window: speedWindow}, completions: flow{window: speedWindow}}
}

// noPlace records that no slot is free.
func (c *capacity) noPlace(now time.Duration) {
	if !c.full {
		c.slots, c.at, c.full = float64(c.running), now, true
		return
	}
	c.average(now)
}

// hasPlace records that a slot may be free.
func (c *capacity) hasPlace() { c.full = false }

func (c *capacity) started(now time.Duration) {
	c.average(now)
	if c.running == 0 {
		c.completed = now
	}
	c.running++
}

// completedOne records the end of a request that took a time in its slot instead of an
// expected one, both in seconds; 0 if the end says nothing about that.
func (c *capacity) completedOne(now time.Duration, expected, actual float64) {
	c.average(now)
	c.running = max(c.running-1, 0)
	c.completed = now
	if actual > 0 {
		c.expected.add(now, expected)
		c.actual.add(now, actual)
		c.completions.add(now, 1)
	}
}

// average adds the time since the last event to the mean of the slots in use.
func (c *capacity) average(now time.Duration) {
	if c.full {
		c.slots += (float64(c.running) - c.slots) * -math.Expm1(-float64(now-c.at)/float64(slotsWindow))
	}
	c.at = now
}

// rate is how many seconds of expected work the slots complete in a second; 0 if it is
// unknown.
func (c *capacity) rate(now time.Duration) float64 {
	rate := c.slots
	actual := c.actual.get(now)
	if actual <= 0 {
		return rate
	}
	rate *= c.expected.get(now) / actual
	if silent := (now - c.completed).Seconds(); silent > 0 {
		rate = min(rate, stallFactor*c.expected.get(now)/c.completions.get(now)/silent)
	}
	return rate
}
