package standin

import (
	"flag"
	"net/http"
	"sync/atomic"
	"time"
)

// EndpointFaults holds the faults that an Endpoint injects.
type EndpointFaults struct {
	// Delay is the pause before each answer.
	Delay time.Duration `help:"Pause before each answer."`
	// Down aborts each connection without an answer.
	Down bool `help:"Break each connection without an answer."`
	// Stale freezes the load report.
	Stale bool `help:"Keep the load report as it is."`
	// Lag is the age of the reported load.
	Lag time.Duration `help:"Age of the reported load."`
	// Crash makes the endpoint crash when it runs a request whose body contains
	// this text.
	Crash string `help:"Crash on a request whose body holds this text."`
	// EventLag is the age at which cache events are published.
	EventLag time.Duration `help:"Age at which cache events are published."`
	// EventGap drops each cache event whose serial it divides.
	EventGap int `help:"Lose each cache event whose number this divides."`
	// Unfenced makes the endpoint accept orders with old fencing numbers. Only
	// EndpointConfig.Unfenced has an effect.
	Unfenced bool `help:"Take orders with old fencing numbers."`
	// CrashAt is how many parts of its answer a request that contains Crash
	// produces before the crash.
	CrashAt int `help:"Crash only after that many parts of the answer."`
	// Break aborts the connection before that part of an answer, counted from
	// 1; the request keeps running and can be resumed.
	Break int `help:"Break the connection before that part of the answer."`
	// Truncate ends the response before that part, without a connection error.
	Truncate int `help:"End an answer before that part."`
	// Skip omits that part of an answer.
	Skip int `help:"Leave that part of the answer out."`
	// Repeat sends each part twice.
	Repeat bool `help:"Send each part of an answer twice."`
	// Cross puts the ID of another attempt into the "head" or the "body" of an
	// answer.
	Cross string `help:"Answer for another attempt: head or body."`
	// Forget keeps no attempts, so that none can be resumed.
	Forget bool `help:"Keep no attempt."`
	// Frame makes plain answers "short", with less than the announced length, or
	// "unframed", without a length.
	Frame string `help:"Wrong length of plain answers: short or unframed."`
	// Shed refuses all requests, and Rest is the backoff that the refusals ask
	// of the node.
	Shed bool          `help:"Turn all requests away."`
	Rest time.Duration `help:"Time for which nodes that were turned away are to send nothing."`
	// Silent is how long an answer stops before part SilentAt, counted from 1, or before
	// the first part if that is 0; it goes on afterwards.
	Silent   time.Duration `help:"Pause within each answer."`
	SilentAt int           `help:"Part of an answer before which it pauses."`
	// Endless makes the "head" of answers, or the "body", go on until the connection is
	// closed.
	Endless string `help:"Answers without end: head or body."`
	// Budget is how many more answers get faults, over all endpoints that share
	// it; nil means no limit.
	Budget *atomic.Int64 `kong:"-"`
}

// flags returns the faults as flags for admin calls, under the same names as on
// the command line.
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
	s.DurationVar(&f.Silent, "silent", f.Silent, "")
	s.IntVar(&f.SilentAt, "silent-at", f.SilentAt, "")
	s.StringVar(&f.Endless, "endless", f.Endless, "")
	return s
}

// Faults returns the current faults.
func (e *Endpoint) Faults() EndpointFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// SetFaults replaces the faults.
func (e *Endpoint) SetFaults(f EndpointFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	e.recordLoad()
}

// nextFaults returns the faults of the next answer and uses up one unit of the
// budget.
func (e *Endpoint) nextFaults() EndpointFaults {
	f := e.Faults()
	if f.Budget != nil && f.Budget.Add(-1) < 0 {
		return EndpointFaults{}
	}
	return f
}

func (e *Endpoint) showFaults(w http.ResponseWriter, _ *http.Request) {
	f := e.Faults()
	writeJSON(w, flagValues(f.flags()))
}

// setFaults changes the faults named in the query, as in
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
