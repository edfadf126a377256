package caller

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

const (
	// DefaultRetry is when a refused caller may come back.
	DefaultRetry = time.Second

	entryKeep   = 30 * time.Second
	entryJitter = 10 * time.Second
)

// Entry is the answer to a caller that asks which nodes to use.
type Entry struct {
	// Nodes is where to connect, best first.
	Nodes []netip.AddrPort `json:"nodes"`
	// KeepMS is how long the answer may be kept, in milliseconds.
	KeepMS int64 `json:"keep_ms"`
	// Tickets are for requests that must not be repeated; they come only to a
	// caller that shows its key.
	Tickets []string `json:"tickets,omitempty"`
}

func (h *Handler) entry(w http.ResponseWriter, r *http.Request) {
	v := h.config.View()
	zone := r.URL.Query().Get("zone")
	e := Entry{KeepMS: (entryKeep + rand.N(entryJitter)).Milliseconds(), Tickets: h.freshTickets(r, EntryTickets)}
	for _, n := range entryOrder(v, zone, r.URL.Query().Get("chat")) {
		e.Nodes = append(e.Nodes, n.Caller)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(e)
}

// entryOrder returns the live nodes for a chat: those of the caller's
// availability zone first, each group in the chat's rendezvous order, so that a
// chat comes back to the same nodes and chats spread over all.
func entryOrder(v *kernel.View, zone, chat string) []kernel.Node {
	if chat == "" {
		chat = time.Now().String()
	}
	var near, far []kernel.Node
	for _, n := range kernel.Rendezvous(chat, v.Nodes) {
		switch {
		case n.State != kernel.Live:
		case n.Zone == zone:
			near = append(near, n)
		default:
			far = append(far, n)
		}
	}
	return append(near, far...)
}
