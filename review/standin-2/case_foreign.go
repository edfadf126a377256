package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// drain is drain_ms of the settings.
const drain = 2 * time.Second

// foreignEntry has another writer write an entry without one of its fields under the id
// of a worker that drains.
func foreignEntry(w *world) (bool, error) {
	if err := w.configure(7, unsafeRoute); err != nil {
		return false, err
	}
	if err := w.small("wuno96b", 3, 2); err != nil {
		return false, err
	}
	var running sync.WaitGroup
	stop := make(chan struct{})
	var mu sync.Mutex
	sent := map[string]time.Time{}
	lost := 0
	running.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(25 * time.Millisecond):
			}
			a := ask{node: w.front(n % 2), method: http.MethodPost, path: unsafeRoute.Prefix + "2f", pieces: 5, pace: 100 * time.Millisecond, deadline: 3 * time.Second, body: []byte("x")}
			running.Go(func() {
				at := time.Now()
				r := a.send()
				mu.Lock()
				defer mu.Unlock()
				sent[r.id] = at
				if r.status != http.StatusOK || !r.whole {
					lost++
					w.note("request %s: status %d, whole %v, error %v", r.id, r.status, r.whole, r.err)
				}
			})
		}
	})
	time.Sleep(time.Second)
	leaving := w.workers[0]
	leaving.signal(syscall.SIGTERM)
	time.Sleep(100 * time.Millisecond)
	confirmed := time.Now()
	w.note("%s drains, as the store has confirmed", leaving.name)
	time.Sleep(drain + 100*time.Millisecond)
	if w.trouble {
		id := strings.TrimPrefix(leaving.name, "worker-")
		entry, err := json.Marshal(map[string]any{
			"service": "wuno96b", "address": fmt.Sprintf("%s:%d", w.ip(40), w.ports[0]), "zone": zones[0], "version": "v1", "slots": 16, "state": "ready",
			"cold_remaining_ms": 0, "sequence": 0,
		})
		if err != nil {
			return false, err
		}
		w.store.put("servers/"+id, entry)
		w.note("another writer writes servers/%s without the field born", id)
	}
	time.Sleep(4 * time.Second)
	close(stop)
	running.Wait()
	late := 0
	for _, line := range w.workerLines() {
		_, rest, ok := strings.Cut(line, ": runs ")
		id, _, _ := strings.Cut(rest, " ")
		if ok && strings.Contains(line, strings.TrimPrefix(leaving.name, "worker-")) && sent[id].Sub(confirmed) > drain {
			late++
		}
	}
	w.note("%d of %d requests that were sent later than %s after the confirmation reached it; %d requests failed", late, len(sent), drain, lost)
	return late > 0, nil
}
