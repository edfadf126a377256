package standin

import (
	"flag"
	"net/http"
	"time"
)

// EndpointFaults is what goes wrong at a stand-in endpoint.
type EndpointFaults struct {
	// Delay comes before each answer.
	Delay time.Duration `help:"Pause before each answer."`
	// Down breaks each connection without an answer.
	Down bool `help:"Break each connection without an answer."`
	// Stale keeps the load report as it is.
	Stale bool `help:"Keep the load report as it is."`
	// Lag is the age of the load that is reported.
	Lag time.Duration `help:"Age of the reported load."`
	// Crash is the mark of a request that crashes the endpoint.
	Crash string `help:"Crash on a request whose body holds this text."`
	// EventLag is the age at which cache events are published.
	EventLag time.Duration `help:"Age at which cache events are published."`
	// EventGap loses every event whose number it divides.
	EventGap int `help:"Lose each cache event whose number this divides."`
	// Unfenced makes the endpoint take orders with old fencing numbers.
	Unfenced bool `help:"Take orders with old fencing numbers."`
}

// flags names the faults for admin calls, in the same words as the command
// line.
func (f *EndpointFaults) flags() *flag.FlagSet {
	s := flag.NewFlagSet("faults", flag.ContinueOnError)
	s.DurationVar(&f.Delay, "delay", f.Delay, "")
	s.BoolVar(&f.Down, "down", f.Down, "")
	s.BoolVar(&f.Stale, "stale", f.Stale, "")
	s.DurationVar(&f.Lag, "lag", f.Lag, "")
	s.StringVar(&f.Crash, "crash", f.Crash, "")
	s.DurationVar(&f.EventLag, "event-lag", f.EventLag, "")
	s.IntVar(&f.EventGap, "event-gap", f.EventGap, "")
	s.BoolVar(&f.Unfenced, "unfenced", f.Unfenced, "")
	return s
}

// Faults returns what goes wrong.
func (e *Endpoint) Faults() EndpointFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// SetFaults replaces what goes wrong.
func (e *Endpoint) SetFaults(f EndpointFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	e.note()
}

func (e *Endpoint) showFaults(w http.ResponseWriter, _ *http.Request) {
	f := e.Faults()
	writeJSON(w, settings(f.flags()))
}

// setFaults changes the faults that the query names, as in
// PUT /admin/faults?delay=50ms&down=true.
func (e *Endpoint) setFaults(w http.ResponseWriter, r *http.Request) {
	f := e.Faults()
	if err := apply(f.flags(), r.URL.Query()); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}
