package crash

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/decision"
)

// Clear clears the crashes of a feature at all nodes, as an operator asks for, and
// returns how many this node knew.
func (t *Tracker) Clear(id uint64) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	n := t.records.Clear(now, now, id)
	if n > 0 {
		t.config.Log.Event("crash.cleared", decision.Fields{"print": printText(id), "crashes": n, "source": "operator"})
	}
	return n
}

// ServeClear clears the feature whose print the path names. It answers calls from the
// node's own machine only, as anybody may reach the address of the metrics.
func (t *Tracker) ServeClear(w http.ResponseWriter, r *http.Request) {
	if !fromOwnMachine(r) {
		http.Error(w, "only from the node's own machine", http.StatusForbidden)
		return
	}
	id, err := strconv.ParseUint(r.PathValue("print"), 36, 64)
	if err != nil {
		http.Error(w, "no print: "+err.Error(), http.StatusBadRequest)
		return
	}
	n := t.Clear(id)
	if n == 0 {
		http.Error(w, "no crashes known", http.StatusNotFound)
		return
	}
	// A failed write means that the operator has disconnected.
	_, _ = fmt.Fprintf(w, "cleared %d crashes\n", n)
}

// fromOwnMachine reports whether a request's connection has the same address at both
// ends.
func fromOwnMachine(r *http.Request) bool {
	local, known := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if !known {
		return false
	}
	here, err := netip.ParseAddrPort(local.String())
	if err != nil {
		return false
	}
	there, err := netip.ParseAddrPort(r.RemoteAddr)
	return err == nil && here.Addr() == there.Addr()
}
