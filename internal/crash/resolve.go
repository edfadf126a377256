package crash

import (
	"time"

	"bulrushhinge.example/bulrushhinge/internal/decision"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

// Outcomes of runs whose endpoint's end was not proven at once.
const (
	// outcomeEnded means that the endpoint had ended, and outcomeExpired that this was
	// never proven.
	outcomeEnded   outcome = "ended"
	outcomeExpired outcome = "expired"

	// maxPrints bounds the requests in a line of the log.
	maxPrints = 8
)

// outcome is what became of a run whose endpoint's end was not proven at once.
type outcome string

// resolved logs and counts runs at an endpoint by why its end was not proven, and by
// what became of them. Runs that were merely given up are logged only if the endpoint
// has ended: most callers that leave have nothing to do with the endpoint.
func (t *Tracker) resolved(now time.Time, start deployment.Start, runs []brokenRun, o outcome) {
	causes := map[cause]int{}
	var prints []string
	var oldest time.Duration
	for _, r := range runs {
		t.config.Metrics.resolved(r.cause, o)
		if o == outcomeExpired && (r.cause == causeCallerGone || r.cause == causeSilent) {
			continue
		}
		causes[r.cause]++
		oldest = max(oldest, now.Sub(r.broke))
		if len(prints) < maxPrints {
			prints = append(prints, r.features[0].Print())
		}
	}
	if len(causes) == 0 {
		return
	}
	t.config.Log.Event("crash.unproven", decision.Fields{
		"endpoint": start.Key(), "id": start.ID, "outcome": string(o), "causes": causes, "prints": prints, "age_ms": oldest.Milliseconds(),
	})
}
