package gateway

import (
	"time"

	"bulrushhinge.example/bulrushhinge/internal/decision"
)

// log logs an event of the request.
func (c *call) log(event string, f decision.Fields) {
	f["request"] = c.id
	f["age_ms"] = time.Since(c.started).Milliseconds()
	if c.config != nil {
		f["version"] = c.config.Version
	}
	if c.route != nil {
		f["route"], f["due_ms"] = c.route.Name, c.route.Objective.Milliseconds()
	}
	if len(c.features) > 0 {
		f["print"] = c.features[0].Print()
	}
	if c.handed != nil {
		f["from"] = c.handed.from
	}
	if c.account != nil {
		f["account"] = c.account.Name
	}
	c.handler.config.Log.Event(event, f)
}
