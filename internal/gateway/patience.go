package gateway

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/decision"
)

const (
	// plainStall is the part of the latency objective after which a request
	// that may be repeated is given up at a silent endpoint: the other half
	// suffices for a second one.
	plainStall = 0.5
	// streamStall is the same for a stream's first event, where a long queue
	// is no fault.
	streamStall = 1.5
	// readStall is how many times longer than expected an engine may read.
	readStall = 2
	// minStall bounds both from below.
	minStall = 60 * time.Millisecond
	// pauseStall is how many of the wanted pauses a resumable stream may be
	// silent between two events.
	pauseStall = 2.0
	// minPause bounds it from below.
	minPause = 500 * time.Millisecond
	// coldStall is how many times longer a cold endpoint may be silent: it is slow,
	// which is no sign of a fault.
	coldStall = 2
)

// stall is after how long of silence the endpoint is given up, 0 for never. A
// request that must not be repeated waits as long as its caller.
func (a *attempt) stall() time.Duration {
	c := a.call
	if !c.mayRepeat() {
		return 0
	}
	share := plainStall
	if c.route.Kind.Streams() {
		share = streamStall
	}
	stall := max(time.Duration(share*float64(c.route.Objective)), minStall)
	if a.choice.Cold {
		return coldStall * stall
	}
	return stall
}

// watch gives a silent endpoint up, unless no other one has room: in an overload
// all of them answer late, and requests would end that an endpoint was about to
// answer. It returns nil for a request that must wait.
func (a *attempt) watch(ctx context.Context, giveUp func()) *time.Timer {
	c, stall := a.call, a.stall()
	if stall == 0 {
		return nil
	}
	var timer *time.Timer
	timer = time.AfterFunc(c.route.Timeout, func() {
		if ctx.Err() != nil {
			// The attempt has ended meanwhile; the timer must not run on.
			return
		}
		if !c.roomBeside(a.choice.Endpoint.Start()) || time.Since(a.at) < a.queued(stall) {
			timer.Reset(stall)
			return
		}
		a.silent.Store(true)
		giveUp()
	})
	timer.Reset(stall)
	return timer
}

// queued is how long an endpoint that says how much it has to do may be silent: a
// request that waits behind others in its queue is no sign of a fault. Given up
// in an overload, it would wait once more elsewhere.
//
// Nor is one that an engine has yet to read: a long prompt would be given up at
// an engine that reads slowly, and read again from its beginning at the next.
func (a *attempt) queued(stall time.Duration) time.Duration {
	busy := a.call.handler.config.Balancer.Busy(time.Now(), a.choice.Endpoint, a.call.service)
	return max(time.Duration(float64(stall)*max(busy, 1)), readStall*a.choice.Reading)
}

// reported passes on what an endpoint says of its load: its running and its
// waiting requests.
func (a *attempt) reported(header http.Header) {
	h := a.call.handler.config
	text := header.Get(h.Headers.Load)
	if text == "" {
		return
	}
	var running, waiting int
	if n, err := fmt.Sscanf(text, "%d,%d", &running, &waiting); n < 2 || running < 0 || waiting < 0 {
		a.call.log("load.bad", decision.Fields{"endpoint": a.choice.Endpoint.ID, "load": text, "error": fmt.Sprint(err)})
		return
	}
	a.load = running + waiting
	h.Balancer.Reported(time.Now(), a.choice.Endpoint.Start(), a.load)
}
