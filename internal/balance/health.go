package balance

import (
	"time"
)

const (
	// minUnreachableBackoff and maxUnreachableBackoff bound how long an unreachable
	// endpoint is not sent anything; the time doubles with each consecutive failure.
	minUnreachableBackoff = 250 * time.Millisecond
	maxUnreachableBackoff = 4 * time.Second
	// failureWeight is the weight of the newest outcome in the failure rate: three
	// consecutive failures make a healthy endpoint suspect.
	failureWeight = 0.12
	// recoveryWeight is the weight of an answer of a suspect endpoint, which gets few
	// requests: three answers make it healthy again.
	recoveryWeight = 0.4
	// suspectShare is the failure rate above which an endpoint is suspect, if the
	// rate is also above suspectTimes the service's mean: some services fail a part
	// of their requests at every endpoint.
	suspectShare = 0.3
	suspectTimes = 2.0
	// probeInterval is how long a suspect endpoint is avoided before it is probed
	// with one request.
	probeInterval = time.Second
)

// Outcomes of an attempt.
const (
	// Served is an answer.
	Served Outcome = iota
	// Failed is an answer that reports a failure of the endpoint, or a broken answer.
	Failed
	// Unreachable is a connection that could not be established.
	Unreachable
	// Refused is an answer that reports that the request did not run.
	Refused
	// Unknown is an attempt that was abandoned for another reason.
	Unknown
	// ReservationRefused is a reservation that was refused.
	ReservationRefused
	// Gone is an answer of another endpoint at the same address.
	Gone
)

type (
	// Outcome is how an attempt at an endpoint ended.
	Outcome int

	// health is what a node has observed of one endpoint.
	health struct {
		failureRate      float64
		unreachableCount int
		// unreachableUntil is when an unreachable endpoint may be tried again,
		// probeAt the same for a suspect one.
		unreachableUntil time.Time
		probeAt          time.Time
		gone             bool
		refusedUntil     time.Time
		// noPlaceUntil is the time before which no reservation is requested.
		noPlaceUntil time.Time
	}
)

func (h *health) record(o Outcome, now time.Time) {
	switch o {
	case Served:
		if h.failureRate > suspectShare {
			h.failureRate *= 1 - recoveryWeight
		} else {
			h.failureRate *= 1 - failureWeight
		}
		h.unreachableCount = 0
		h.unreachableUntil = time.Time{}
	case Failed:
		h.failureRate += failureWeight * (1 - h.failureRate)
	case Unreachable:
		h.unreachableUntil = now.Add(min(minUnreachableBackoff<<min(h.unreachableCount, 5), maxUnreachableBackoff))
		h.unreachableCount++
	case Gone:
		h.gone = true
	case Refused:
		h.refusedUntil = now.Add(refusedBackoff)
	case ReservationRefused:
		h.noPlaceUntil = now.Add(reservationBackoff)
	case Unknown:
	}
}

// suspect reports whether the endpoint fails far more often than the others.
func (h *health) suspect(mean float64) bool {
	return h.failureRate > suspectShare && h.failureRate > suspectTimes*mean
}
