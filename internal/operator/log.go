package operator

import (
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"bulrushhinge.example/bulrushhinge/internal/route"
)

// Log writes what goes wrong with requests as log lines.
type Log struct {
	// To takes the lines.
	To logrus.FieldLogger
}

// Step logs a refusal.
func (l Log) Step(_ time.Time, req route.Request, s route.Step) {
	if s.Kind == route.StepRefuse {
		l.fields(req).WithField("reason", string(s.Reason)).Info("request refused")
	}
}

// Outcome logs an attempt of which nobody knows whether it ran.
func (l Log) Outcome(_ time.Time, req route.Request, o route.Outcome) {
	if o == route.OutcomeLost {
		l.fields(req).WithField("once", req.Once).Warn("attempt lost")
	}
}

func (l Log) fields(req route.Request) logrus.FieldLogger {
	return l.To.WithFields(logrus.Fields{
		"request": strconv.FormatUint(req.ID, 16), "chat": req.Chat, "account": req.Account, "service": req.Service,
	})
}
