package dispatch

import (
	"sync"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

// Ledger counts what the node has dispatched to each endpoint and is not done.
// It corrects the loads that homes told a while ago. It is safe for concurrent
// use; a nil Ledger counts nothing.
type Ledger struct {
	mu    sync.Mutex
	loads map[string]kernel.Load
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger { return &Ledger{loads: map[string]kernel.Load{}} }

// Add counts a request that is dispatched.
func (l *Ledger) Add(endpoint string, tokens int) { l.change(endpoint, 1, tokens) }

// Done counts a request that is done.
func (l *Ledger) Done(endpoint string, tokens int) { l.change(endpoint, -1, -tokens) }

// Loads returns the outstanding loads, in no order.
func (l *Ledger) Loads() []kernel.EndpointLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	loads := make([]kernel.EndpointLoad, 0, len(l.loads))
	for endpoint, load := range l.loads {
		loads = append(loads, kernel.EndpointLoad{Endpoint: endpoint, Load: load})
	}
	return loads
}

func (l *Ledger) change(endpoint string, requests, tokens int) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	load := l.loads[endpoint].Add(kernel.Load{Requests: requests, Tokens: tokens})
	if load == (kernel.Load{}) {
		delete(l.loads, endpoint)
		return
	}
	l.loads[endpoint] = load
}
