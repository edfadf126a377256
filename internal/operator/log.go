package operator

import (
	"strconv"

	"github.com/sirupsen/logrus"

	"bulrushhinge.example/bulrushhinge/internal/dispatch"
	"bulrushhinge.example/bulrushhinge/internal/route"
)

// Log logs failed attempts and refused requests.
type Log struct {
	// To receives the log lines.
	To logrus.FieldLogger
}

// Record logs refusals, and attempts that were lost or not run.
func (l Log) Record(r dispatch.Record) {
	switch {
	case r.Outcome == route.OutcomeLost:
		l.line(r).Warn("attempt lost")
	case r.Outcome == route.OutcomeNotRun:
		l.line(r).Info("attempt not run")
	case r.Outcome == 0 && r.Step.Kind == route.StepRefuse:
		l.line(r).WithField("reason", string(r.Step.Reason)).Info("request refused")
	}
}

func (l Log) line(r dispatch.Record) logrus.FieldLogger {
	return l.To.WithFields(logrus.Fields{
		"request": strconv.FormatUint(r.Request.ID, 16), "chat": r.Request.Chat, "account": r.Request.Account,
		"endpoint": r.Step.Endpoint.Name, "attempt": r.Attempt, "once": r.Request.AtMostOnce,
	})
}
