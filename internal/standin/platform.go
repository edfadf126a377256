// Package standin holds small stand-ins of the systems that surround the fleet:
// the operators' platform and the endpoints. Tests and the demo run them in
// process, the command line as processes of their own.
package standin

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/platform"
)

const maxWatchWait = time.Minute

type (
	// Platform is a stand-in of the platform's configuration service: a set of
	// versioned values that can be read and watched. It is an http.Handler.
	Platform struct {
		mux *http.ServeMux
		mu  sync.Mutex
		// changed is closed and replaced whenever a value changes.
		changed chan struct{}
		values  map[string]platform.Value
		down    bool
		reads   int
	}
)

// NewPlatform returns an empty Platform.
func NewPlatform() *Platform {
	p := &Platform{
		mux:     http.NewServeMux(),
		changed: make(chan struct{}),
		values:  map[string]platform.Value{},
	}
	p.mux.HandleFunc("GET /v1/config/", p.get)
	p.mux.HandleFunc("GET /v1/watch/", p.watch)
	return p
}

// ServeHTTP serves the platform's published protocol.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.reads++
	down := p.down
	p.mu.Unlock()
	if down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	p.mux.ServeHTTP(w, r)
}

// Set publishes a value, as the operators' pipeline would.
func (p *Platform) Set(key string, data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	version := p.values[key].Version + 1
	p.values[key] = platform.Value{Version: version, Data: data}
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetDown makes every read fail, or ends that.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// Reads returns how many calls were made.
func (p *Platform) Reads() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	v, _ := p.value(strings.TrimPrefix(r.URL.Path, "/v1/config/"))
	if v.Version == 0 {
		http.NotFound(w, r)
		return
	}
	write(w, v)
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	key := strings.TrimPrefix(r.URL.Path, "/v1/watch/")
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
	timer := time.NewTimer(min(wait, maxWatchWait))
	defer timer.Stop()
	for {
		v, changed := p.value(key)
		if v.Version > after {
			write(w, v)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) value(key string) (platform.Value, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.values[key], p.changed
}

func write(w http.ResponseWriter, v platform.Value) {
	w.Header().Set(platform.HeaderVersion, strconv.FormatUint(v.Version, 10))
	_, _ = w.Write(v.Data)
}
