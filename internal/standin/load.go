package standin

import (
	"net/http"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/endpoint"
)

// maxLoads is how many past reports are kept for lagged ones.
const maxLoads = 1 << 14

type (
	// loadHistory holds past loads, so that reports can lag.
	loadHistory []loadSample

	loadSample struct {
		at     time.Time
		report endpoint.LoadReport
	}
)

// note remembers the load now. The caller holds the lock.
func (e *Endpoint) note() {
	if e.faults.Stale {
		return
	}
	now := time.Now()
	e.loads = append(e.loads, loadSample{at: now, report: e.report()})
	e.loads = e.loads.since(now.Add(-e.faults.Lag))
}

// since drops what is older than the newest report at the given time.
func (h loadHistory) since(at time.Time) loadHistory {
	for len(h) > 1 && (len(h) > maxLoads || !h[1].at.After(at)) {
		h = h[1:]
	}
	return h
}

func (h loadHistory) at(at time.Time) endpoint.LoadReport {
	var report endpoint.LoadReport
	for _, s := range h {
		if s.at.After(at) {
			break
		}
		report = s.report
	}
	return report
}

func (e *Endpoint) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	report := e.loads.at(time.Now().Add(-e.faults.Lag))
	report.Models = e.config.Models
	report.Adapters = e.orders.last.Adapters
	report.Role = e.orders.last.Role
	report.Fence = e.orders.last.Fence
	e.mu.Unlock()
	writeJSON(w, report)
}
