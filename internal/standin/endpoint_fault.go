package standin

import (
	"flag"
	"net/http"
	"sync/atomic"
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
	// CrashAt is how many parts a request with the crash mark answers first.
	CrashAt int `help:"Crash only after that many parts of the answer."`
	// Break breaks the connection before a part of an answer; the request
	// runs on and can be asked for again.
	Break int `help:"Break the connection before that part of the answer."`
	// Truncate ends an answer properly before a part.
	Truncate int `help:"End an answer before that part."`
	// Skip leaves a part of an answer out.
	Skip int `help:"Leave that part of the answer out."`
	// Repeat sends each part twice.
	Repeat bool `help:"Send each part of an answer twice."`
	// Cross answers for another attempt, in its "head" or in its "body".
	Cross string `help:"Answer for another attempt: head or body."`
	// Forget keeps no attempt, so that none can be asked for again.
	Forget bool `help:"Keep no attempt."`
	// Frame is a plain answer that is "short" of its announced length, or
	// "unframed", without one.
	Frame string `help:"Wrong length of plain answers: short or unframed."`
	// Shed turns all requests away, and Rest is the time for which a node that was
	// turned away is asked to send nothing.
	Shed bool          `help:"Turn all requests away."`
	Rest time.Duration `help:"Time for which nodes that were turned away are to send nothing."`
	// Budget is how many more answers go wrong, over all endpoints that share
	// it; nil is all.
	Budget *atomic.Int64 `kong:"-"`
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
	s.IntVar(&f.CrashAt, "crash-at", f.CrashAt, "")
	s.IntVar(&f.Break, "break", f.Break, "")
	s.IntVar(&f.Truncate, "truncate", f.Truncate, "")
	s.IntVar(&f.Skip, "skip", f.Skip, "")
	s.BoolVar(&f.Repeat, "repeat", f.Repeat, "")
	s.StringVar(&f.Cross, "cross", f.Cross, "")
	s.BoolVar(&f.Forget, "forget", f.Forget, "")
	s.StringVar(&f.Frame, "frame", f.Frame, "")
	s.BoolVar(&f.Shed, "shed", f.Shed, "")
	s.DurationVar(&f.Rest, "rest", f.Rest, "")
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

// next returns what goes wrong with the next answer.
func (e *Endpoint) next() EndpointFaults {
	f := e.Faults()
	if f.Budget != nil && f.Budget.Add(-1) < 0 {
		return EndpointFaults{}
	}
	return f
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
