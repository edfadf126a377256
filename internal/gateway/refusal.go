package gateway

import (
	"net/http"
	"strconv"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/crash"
)

// Reasons of refusals and failures, as they appear in responses, logs and metrics.
const (
	reasonNoConfig    = "no-config"
	reasonStale       = "stale-config"
	reasonNoRoute     = "no-route"
	reasonNoAccount   = "unknown-key"
	reasonHeader      = "header-too-large"
	reasonBody        = "body-too-large"
	reasonBodyLate    = "body-late"
	reasonMalformed   = "malformed"
	reasonFull        = "endpoints-full"
	reasonExcess      = "account-excess"
	reasonNoEndpoint  = "no-endpoint"
	reasonNotRun      = "endpoints-refused"
	reasonBudget      = "retry-budget"
	reasonCrashes     = "crashes-endpoints"
	reasonBroken      = "endpoint-broke-off"
	reasonTimeout     = "timeout"
	reasonUnreachable = "endpoints-unreachable"
	reasonBodiesHeld  = "bodies-held"
	reasonEvacuated   = "zones-evacuated"
	reasonResidency   = "no-endpoint-in-homes"
	reasonWithdrawn   = "endpoint-left"
	reasonLeaving     = "endpoints-leaving"
	reasonBackoff     = "endpoints-resting"
	reasonPanic       = "internal-error"
	reasonOtherConfig = "other-config"
	reasonStopping    = "stopping"
)

const (
	// retryShare is the share of the latency objective after which a caller is
	// asked to retry while slots are scarce: early enough for its response to
	// begin in time. Callers that retry later are late, and take the slots of
	// others that would not be.
	retryShare = 0.25
	// retrySoon is the retry delay if this node holds too much, or has no
	// configuration while other nodes serve. minRetryDelay is the lower bound of
	// any retry delay: a new connection takes some round trips.
	retrySoon     = 200 * time.Millisecond
	minRetryDelay = 10 * time.Millisecond
	// retryLater is the retry delay if the node itself needs a new configuration
	// first.
	retryLater = 500 * time.Millisecond
	// maxRetryShare is the share of a caller's remaining time after which it
	// retries at the latest.
	maxRetryShare = 1.0 / 3
)

// refusal is a response of the gateway itself.
type refusal struct {
	status int
	reason string
	// retryAfter is the retry delay, for requests that did not run.
	retryAfter time.Duration
	// isolation is why a request that ends endpoints is refused.
	isolation crash.Isolation
	// cause is why the request ends, empty if it follows from the rest.
	cause string
	// peer is the node that has refused the request, empty for this one.
	peer string
}

func (r *refusal) write(w http.ResponseWriter) {
	if r.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	body := r.reason + "\n"
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(r.status)
	// An error means that the caller has disconnected.
	_, _ = w.Write([]byte(body))
}

// notRun refuses a request that has not run and never will.
func notRun(reason string, retryAfter time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: retryAfter}
}

// unknown ends a request that may have run.
func unknown(reason string) *refusal {
	if reason == reasonTimeout {
		return &refusal{status: http.StatusGatewayTimeout, reason: reason}
	}
	return &refusal{status: http.StatusBadGateway, reason: reason}
}
