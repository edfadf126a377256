// Package standin simulates the systems that surround the fleet: the operators'
// platform and the endpoints. Tests and the demo run them in process, the command
// line as separate processes.
package standin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/platform"
)

const (
	maxWatchWait   = time.Minute
	lagPoll        = 20 * time.Millisecond
	maxPublishSize = 2 << 20
	configPath     = "/v1/config/"
	watchPath      = "/v1/watch/"
)

type (
	// Platform simulates the configuration service of the platform: a set of
	// versioned values that can be read and watched. It is an http.Handler.
	Platform struct {
		mux *http.ServeMux
		mu  sync.Mutex
		// changed is closed and replaced whenever a value or a fault changes.
		changed chan struct{}
		values  map[string]*history
		faults  PlatformFaults
		// epoch counts how often the platform was restored.
		epoch uint64
		// staleSince is when the Stale fault was set.
		staleSince time.Time
		reads      int
	}
)

// NewPlatform returns an empty Platform.
func NewPlatform() *Platform {
	p := &Platform{
		mux:     http.NewServeMux(),
		changed: make(chan struct{}),
		values:  map[string]*history{},
	}
	p.mux.HandleFunc("GET /v1/config/", p.get)
	p.mux.HandleFunc("GET /v1/watch/", p.watch)
	p.mux.HandleFunc("GET /admin/faults", p.showFaults)
	p.mux.HandleFunc("PUT /admin/faults", p.setFaults)
	p.mux.HandleFunc("PUT /admin/{key...}", p.publish)
	return p
}

// ServeHTTP serves the published protocol of the platform and the admin calls.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if isAdmin(r) {
		p.mux.ServeHTTP(w, r)
		return
	}
	p.mu.Lock()
	p.reads++
	f := p.faults
	p.mu.Unlock()
	if !pause(r, f.Delay) {
		return
	}
	if f.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	p.mux.ServeHTTP(w, r)
}

// Set publishes a new version of a value, as the operators' pipeline does.
func (p *Platform) Set(key string, data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.values[key]
	if h == nil {
		h = &history{}
		p.values[key] = h
	}
	h.add(time.Now(), data)
	p.wake()
}

// Restore simulates a restore from a backup of the given time: later versions are
// deleted, their numbers are used again, and the epoch is incremented.
func (p *Platform) Restore(to time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.epoch++
	for _, h := range p.values {
		h.restore(to)
	}
	p.wake()
}

// SetDown turns the Down fault on or off.
func (p *Platform) SetDown(down bool) {
	f := p.Faults()
	f.Down = down
	p.SetFaults(f)
}

// Reads returns how many calls were made, admin calls aside.
func (p *Platform) Reads() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

// wake wakes the watches after a change. The caller holds the mutex.
func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	v, _ := p.value(strings.TrimPrefix(r.URL.Path, configPath))
	if v.Version == 0 {
		http.NotFound(w, r)
		return
	}
	p.write(w, v)
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	key := strings.TrimPrefix(r.URL.Path, watchPath)
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, fmt.Sprintf("after: %v", err), http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		http.Error(w, fmt.Sprintf("wait: %v", err), http.StatusBadRequest)
		return
	}
	v, found := p.await(r, key, after, min(wait, maxWatchWait))
	if p.Faults().Down {
		// A watch that began before the outage must not return a value that is
		// published during it.
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	if !found {
		v.writeEpoch(w)
		w.WriteHeader(http.StatusNotModified)
		return
	}
	p.write(w, v)
}

// await waits until the value has a version above after. It returns false, with
// the current value, if the wait elapses or the client disconnects first.
func (p *Platform) await(r *http.Request, key string, after uint64, wait time.Duration) (epochValue, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		v, changed := p.value(key)
		if v.Version > after {
			return v, true
		}
		var poll <-chan time.Time
		if p.Faults().Lag > 0 {
			poll = time.After(lagPoll)
		}
		select {
		case <-changed:
		case <-poll:
		case <-timer.C:
			return v, false
		case <-r.Context().Done():
			return v, false
		}
	}
}

func (p *Platform) publish(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPublishSize))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.Set(r.PathValue("key"), data)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) value(key string) (epochValue, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.values[key]
	if h == nil {
		return epochValue{epoch: p.epoch}, p.changed
	}
	return epochValue{Value: h.read(p.visibleUntil(time.Now()), p.faults.Flip), epoch: p.epoch}, p.changed
}

func (p *Platform) write(w http.ResponseWriter, v epochValue) {
	f := p.Faults()
	data := v.Data
	if f.Half {
		data = data[:len(data)/2]
	}
	if f.Pad > 0 {
		data = append(append([]byte{}, data...), make([]byte, f.Pad)...)
	}
	v.writeEpoch(w)
	w.Header().Set(platform.HeaderVersion, strconv.FormatUint(v.Version, 10))
	_, _ = w.Write(data)
}

// writeEpoch sets the epoch header if the platform has ever been restored.
func (v epochValue) writeEpoch(w http.ResponseWriter) {
	if v.epoch > 0 {
		w.Header().Set(platform.HeaderEpoch, strconv.FormatUint(v.epoch, 10))
	}
}
