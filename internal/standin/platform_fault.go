package standin

import (
	"flag"
	"net/http"
	"time"
)

// PlatformFaults is what goes wrong at a stand-in platform.
type PlatformFaults struct {
	// Down fails each read.
	Down bool `help:"Fail each read."`
	// Stale shows the values as they were when the fault began.
	Stale bool `help:"Show the values as they were when the fault began."`
	// Delay comes before each answer.
	Delay time.Duration `help:"Pause before each answer."`
	// Lag is the age at which values are shown.
	Lag time.Duration `help:"Age at which values are shown."`
	// Half cuts each value in half.
	Half bool `help:"Cut each value in half."`
	// Pad is the bytes added to each value.
	Pad int `help:"Bytes added to each value."`
	// Flip shows the newest value and the one before it in turn.
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

// Faults returns what goes wrong.
func (p *Platform) Faults() PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// SetFaults replaces what goes wrong.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.Stale && !p.faults.Stale {
		p.frozen = time.Now()
	}
	p.faults = f
	p.wake()
}

// visible returns the time by which a value was published to be shown. The
// caller holds the lock.
func (p *Platform) visible(now time.Time) time.Time {
	if p.faults.Stale {
		return p.frozen
	}
	return now.Add(-p.faults.Lag)
}

func (p *Platform) showFaults(w http.ResponseWriter, _ *http.Request) {
	f := p.Faults()
	writeJSON(w, settings(f.flags()))
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
