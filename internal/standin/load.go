package standin

import (
	"net/http"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/endpoint"
)

// maxLoads is how many past load reports are kept for the Lag fault.
const maxLoads = 1 << 14

type (
	// loadHistory holds past loads, oldest first, for the Lag fault.
	loadHistory []loadSample

	loadSample struct {
		at     time.Time
		report endpoint.LoadReport
	}
)

// recordLoad records the current load. The caller holds the mutex.
func (e *Endpoint) recordLoad() {
	if e.faults.Stale {
		return
	}
	now := time.Now()
	e.loads = append(e.loads, loadSample{at: now, report: e.report()})
	e.loads = e.loads.trim(now.Add(-e.faults.Lag))
}

// trim drops the samples before the one that was current at the given time.
func (h loadHistory) trim(at time.Time) loadHistory {
	for len(h) > 1 && (len(h) > maxLoads || !h[1].at.After(at)) {
		h = h[1:]
	}
	return h
}

// at returns the load that was current at the given time.
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
