package caller

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"bulrushhinge.example/bulrushhinge/internal/atmostonce"
	"bulrushhinge.example/bulrushhinge/internal/endpoint"
	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/peer"
	"bulrushhinge.example/bulrushhinge/pkg/ticket"
)

const (
	// EntryTickets is the number of tickets in an entry answer.
	EntryTickets = 4

	// queryTimeout bounds a query of a ticket's state at the node that minted it.
	queryTimeout = 2 * time.Second

	extensionPrefix = "X-"
)

type (
	// Relayer forwards requests to the node that minted their ticket.
	Relayer interface {
		Relay(ctx context.Context, to netip.AddrPort, r peer.RelayedRequest, w http.ResponseWriter) (started bool, err error)
	}

	// TicketState is the answer to a query of a ticket's state.
	TicketState struct {
		Ticket string           `json:"ticket"`
		State  atmostonce.State `json:"state"`
	}

	// relayedKey marks the context of a request that another node forwarded.
	relayedKey struct{}

	// uncheckedWriter is the writer of a request whose ticket is not checked yet.
	// Until then the node cannot report that the request did not run, since an
	// earlier copy may have.
	uncheckedWriter struct{ http.ResponseWriter }
)

// Unwrap returns the underlying writer, for http.ResponseController.
func (w *uncheckedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// checked returns the writer for answers that are based on the checked ticket.
func checked(w http.ResponseWriter) http.ResponseWriter {
	if u, ok := w.(*uncheckedWriter); ok {
		return u.ResponseWriter
	}
	return w
}

// forWriter adapts the problem to a writer: before the ticket is checked, it is
// unknown whether the request ran.
func (p *problem) forWriter(w http.ResponseWriter) *problem {
	if _, ok := w.(*uncheckedWriter); !ok || p.ran != RanNot {
		return p
	}
	unknown := *p
	unknown.ran = RanUnknown
	return &unknown
}

// Relay serves a request that was forwarded by another node of the fleet. It
// includes the caller's key, which is checked here again.
func (h *Handler) Relay(ctx context.Context, r peer.RelayedRequest, w http.ResponseWriter) {
	ctx = context.WithValue(ctx, relayedKey{}, true)
	req, err := http.NewRequestWithContext(ctx, r.Method, r.URI, strings.NewReader(string(r.Body)))
	if err != nil {
		badRequest(err).write(w)
		return
	}
	req.Header = r.Header
	h.ServeHTTP(w, req)
}

// showTicket responds with the state of a ticket.
func (h *Handler) showTicket(w http.ResponseWriter, r *http.Request) {
	h.withTicket(w, r, func(t ticket.Ticket, account string) {
		writeState(w, http.StatusOK, t, h.config.Tickets.State(t, account))
	})
}

// voidTicket voids an unused ticket, which proves that its request was not run
// and never will be.
func (h *Handler) voidTicket(w http.ResponseWriter, r *http.Request) {
	h.withTicket(w, r, func(t ticket.Ticket, account string) {
		err := h.config.Tickets.Void(t, account)
		if errors.Is(err, atmostonce.ErrFull) {
			ticketProblem(err).write(w)
			return
		}
		status := http.StatusOK
		if err != nil {
			status = http.StatusConflict
		}
		writeState(w, status, t, h.config.Tickets.State(t, account))
	})
}

// withTicket calls do with the ticket in the path, or forwards the request to the
// ticket's node.
func (h *Handler) withTicket(w http.ResponseWriter, r *http.Request, do func(t ticket.Ticket, account string)) {
	v, a, p := h.authenticate(r)
	if p != nil {
		p.write(w)
		return
	}
	t, err := ticket.Parse(r.PathValue("ticket"))
	if err != nil {
		ticketProblem(err).write(w)
		return
	}
	if t.Node == v.Self.Name {
		do(t, a.Name)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), queryTimeout)
	defer cancel()
	if p := h.relay(w, r.WithContext(ctx), v, t, nil); p != nil {
		writeState(w, http.StatusOK, t, atmostonce.Unknown)
	}
}

// relay forwards a request to the node that minted its ticket. It returns a
// problem if nothing was written to w. Only that node may run the request; this
// one must not, even if it considers the other dead.
func (h *Handler) relay(w http.ResponseWriter, r *http.Request, v *kernel.View, t ticket.Ticket, body []byte) *problem {
	log := h.config.Log.WithFields(logrus.Fields{"request": w.Header().Get(HeaderRequest), "node": t.Node})
	to, ok := v.Node(t.Node)
	if !ok || r.Context().Value(relayedKey{}) != nil {
		log.Info("node of a ticket not known")
		return ticketProblem(atmostonce.ErrUnknown)
	}
	out := h.newTicketWriter(w)
	defer out.release()
	_, err := h.config.Relays.Relay(r.Context(), to.Peer, peer.RelayedRequest{
		Method: r.Method, URI: r.URL.RequestURI(), Header: relayedHeader(r.Header), Body: body,
	}, out)
	if err == nil {
		err = out.finish()
	}
	if err == nil {
		return nil
	}
	h.logCopy(r.Context(), err, log)
	switch {
	case out.errorSent:
		// The other node has sent an error event.
		panic(http.ErrAbortHandler)
	case out.started:
		abort(out.events, h.incompleteProblem(err))
	case errors.Is(err, endpoint.ErrFull), r.Context().Err() != nil:
		return h.incompleteProblem(err).asRecorded()
	}
	return ticketProblem(atmostonce.ErrUnknown)
}

// mintTickets mints tickets for the caller's account, or none without a valid
// key.
func (h *Handler) mintTickets(r *http.Request, n int) []string {
	_, a, p := h.authenticate(r)
	if p != nil || h.config.Tickets == nil {
		return nil
	}
	var list []string
	for range n {
		t, err := h.config.Tickets.Mint(a.Name)
		if err != nil {
			return list
		}
		list = append(list, t.String())
	}
	return list
}

// addTicket adds a new ticket to the header of a refusal.
func (h *Handler) addTicket(w http.ResponseWriter, account string) {
	if t, err := h.config.Tickets.Mint(account); err == nil {
		w.Header().Set(HeaderTicket, t.String())
	}
}

func ticketRequired() *problem {
	return &problem{
		status: http.StatusPreconditionRequired, kind: "ticket_required",
		text: "this request must not be repeated: send it again with the ticket in " + HeaderTicket, ran: RanNot,
	}
}

// ticketProblem returns the problem for a ticket that cannot be redeemed. A ticket
// that is malformed or unknown does not prove that its request did not run.
func ticketProblem(err error) *problem {
	text := err.Error()
	switch {
	case errors.Is(err, ticket.ErrFormat):
		return &problem{status: http.StatusBadRequest, kind: "ticket_format", text: text, ran: RanUnknown}
	case errors.Is(err, atmostonce.ErrVoid):
		return &problem{status: http.StatusConflict, kind: "ticket_void", text: text, ran: RanNot}
	case errors.Is(err, atmostonce.ErrUsed), errors.Is(err, atmostonce.ErrGone):
		return &problem{status: http.StatusConflict, kind: "ticket_used", text: text, ran: RanYes}
	case errors.Is(err, atmostonce.ErrOther):
		return &problem{status: http.StatusConflict, kind: "ticket_other", text: text, ran: RanUnknown}
	case errors.Is(err, atmostonce.ErrFull):
		return &problem{status: http.StatusServiceUnavailable, kind: "tickets_full", text: text, ran: RanNot, retry: retryDelay()}
	default:
		return &problem{status: http.StatusConflict, kind: "ticket_unknown", text: text, ran: RanUnknown}
	}
}

// requestDigest returns a digest of a request, so that a ticket's answer is never sent
// to another request of the same account.
func requestDigest(r *http.Request, body []byte) atmostonce.Print {
	digest := sha256.New()
	for _, part := range []string{r.Method, r.URL.RequestURI()} {
		digest.Write([]byte(part))
		digest.Write([]byte{0})
	}
	digest.Write(body)
	return atmostonce.Print(digest.Sum(nil))
}

// relayedHeader returns the headers that are forwarded to the other node.
func relayedHeader(from http.Header) http.Header {
	header := forwardedHeaders(from)
	for name, values := range from {
		if name == "Authorization" || name == "Content-Type" || strings.HasPrefix(name, extensionPrefix) {
			header[name] = values
		}
	}
	return header
}

func writeState(w http.ResponseWriter, status int, t ticket.Ticket, s atmostonce.State) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(TicketState{Ticket: t.String(), State: s})
}
