package standin

import (
	"net/http"
	"strconv"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/endpoint"
)

// maxEvents is how many cache events are kept; older ones are dropped.
const maxEvents = 4096

type (
	eventLog struct {
		serial uint64
		events []timedEvent
	}

	timedEvent struct {
		endpoint.CacheEvent
		at time.Time
	}
)

func (l *eventLog) add(kind endpoint.EventKind, chat string, tokens int) {
	l.serial++
	l.events = append(l.events, timedEvent{
		CacheEvent: endpoint.CacheEvent{Serial: l.serial, Kind: kind, Chat: chat, Tokens: tokens},
		at:         time.Now(),
	})
	if len(l.events) > maxEvents {
		l.events = append(l.events[:0], l.events[len(l.events)-maxEvents:]...)
	}
}

// after returns the events with higher serials that happened by until. If gap is
// positive, each event whose serial it divides is left out.
func (l *eventLog) after(serial uint64, until time.Time, gap int) endpoint.CacheEvents {
	report := endpoint.CacheEvents{Events: []endpoint.CacheEvent{}, Last: serial}
	for _, e := range l.events {
		if e.Serial <= serial || e.at.After(until) {
			continue
		}
		report.Last = e.Serial
		if gap > 0 && e.Serial%uint64(gap) == 0 {
			continue
		}
		report.Events = append(report.Events, e.CacheEvent)
	}
	return report
}

func (e *Endpoint) events(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	report := e.cache.events.after(after, time.Now().Add(-e.faults.EventLag), e.faults.EventGap)
	e.mu.Unlock()
	writeJSON(w, report)
}
