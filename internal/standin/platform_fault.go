package standin

import (
	"flag"
	"net/http"
	"time"
)

// PlatformFaults holds the faults that a Platform injects.
type PlatformFaults struct {
	// Down fails each read.
	Down bool `help:"Fail each read."`
	// Stale serves the values as they were when the fault was set.
	Stale bool `help:"Show the values as they were when the fault began."`
	// Delay is the pause before each answer.
	Delay time.Duration `help:"Pause before each answer."`
	// Lag is the age at which new versions become visible.
	Lag time.Duration `help:"Age at which values are shown."`
	// Half truncates each value to half its length.
	Half bool `help:"Cut each value in half."`
	// Pad is the number of zero bytes appended to each value.
	Pad int `help:"Bytes added to each value."`
	// Flip alternates between the newest version and the one before it.
	Flip bool `help:"Show the newest value and the one before it in turn."`
}

func (f *PlatformFaults) flags() *flag.FlagSet {
	s := flag.NewFlagSet("faults", flag.ContinueOnError)
	s.BoolVar(&f.Down, "down", f.Down, "")
	s.BoolVar(&f.Stale, "stale", f.Stale, "")
	s.DurationVar(&f.Delay, "delay", f.Delay, "")
	s.DurationVar(&f.Lag, "lag", f.Lag, "")
	s.BoolVar(&f.Half, "half", f.Half, "")
	s.IntVar(&f.Pad, "pad", f.Pad, "")
	s.BoolVar(&f.Flip, "flip", f.Flip, "")
	return s
}

// Faults returns the current faults.
func (p *Platform) Faults() PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.Stale && !p.faults.Stale {
		p.staleSince = time.Now()
	}
	p.faults = f
	p.wake()
}

// visibleUntil returns the time of publication up to which versions are visible.
// The caller holds the mutex.
func (p *Platform) visibleUntil(now time.Time) time.Time {
	if p.faults.Stale {
		return p.staleSince
	}
	return now.Add(-p.faults.Lag)
}

func (p *Platform) showFaults(w http.ResponseWriter, _ *http.Request) {
	f := p.Faults()
	writeJSON(w, flagValues(f.flags()))
}

func (p *Platform) setFaults(w http.ResponseWriter, r *http.Request) {
	f := p.Faults()
	if err := apply(f.flags(), r.URL.Query()); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}
