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

	"bulrushhinge.example/bulrushhinge/internal/endpoint"
	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/once"
	"bulrushhinge.example/bulrushhinge/internal/peer"
	"bulrushhinge.example/bulrushhinge/pkg/ticket"
)

const (
	// EntryTickets is how many tickets an entry answer carries.
	EntryTickets = 4

	// askTimeout bounds a question about a ticket to the node that minted it.
	askTimeout = 2 * time.Second

	extensionStart = "X-"
)

type (
	// Relayer passes requests to the node that minted their ticket.
	Relayer interface {
		Relay(ctx context.Context, to netip.AddrPort, r peer.Relayed, w http.ResponseWriter) (started bool, err error)
	}

	// TicketState is the answer to a caller that asks about a ticket.
	TicketState struct {
		Ticket string     `json:"ticket"`
		State  once.State `json:"state"`
	}

	relayedKey struct{}

	// unsure is the writer of a request that came with a ticket. Until the
	// ticket was looked at, the node cannot say that the request was not run:
	// an earlier copy may have been.
	unsure struct{ http.ResponseWriter }
)

// Unwrap returns the writer below, for http.ResponseController.
func (w *unsure) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// sure returns the writer for what was found out from the ticket.
func sure(w http.ResponseWriter) http.ResponseWriter {
	if u, ok := w.(*unsure); ok {
		return u.ResponseWriter
	}
	return w
}

// unless returns the problem as it may be told to a writer.
func (p *problem) unless(w http.ResponseWriter) *problem {
	if _, ok := w.(*unsure); !ok || p.ran != RanNot {
		return p
	}
	unknown := *p
	unknown.ran = RanUnknown
	return &unknown
}

// Relay serves a request that came to another node of the fleet. The caller's
// own key comes with it and is checked here again.
func (h *Handler) Relay(ctx context.Context, r peer.Relayed, w http.ResponseWriter) {
	ctx = context.WithValue(ctx, relayedKey{}, true)
	req, err := http.NewRequestWithContext(ctx, r.Method, r.URI, strings.NewReader(string(r.Body)))
	if err != nil {
		badRequest(err).write(w)
		return
	}
	req.Header = r.Header
	h.ServeHTTP(w, req)
}

// showTicket tells what is known of a ticket, and voidTicket gives an unused
// one up, which proves that its request was not run.
func (h *Handler) showTicket(w http.ResponseWriter, r *http.Request) {
	h.withTicket(w, r, func(t ticket.Ticket, account string) {
		writeState(w, http.StatusOK, t, h.config.Tickets.State(t, account))
	})
}

func (h *Handler) voidTicket(w http.ResponseWriter, r *http.Request) {
	h.withTicket(w, r, func(t ticket.Ticket, account string) {
		err := h.config.Tickets.Void(t, account)
		if errors.Is(err, once.ErrFull) {
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

func (h *Handler) withTicket(w http.ResponseWriter, r *http.Request, do func(t ticket.Ticket, account string)) {
	v, a, p := h.admit(r)
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
	ctx, cancel := context.WithTimeout(r.Context(), askTimeout)
	defer cancel()
	if p := h.relay(w, r.WithContext(ctx), v, t, nil); p != nil {
		writeState(w, http.StatusOK, t, once.Unknown)
	}
}

// relay passes a request to the node that minted its ticket. It returns what is
// known where w got no answer. Only that node may run the request: this one must
// not, whatever it believes of the other.
func (h *Handler) relay(w http.ResponseWriter, r *http.Request, v *kernel.View, t ticket.Ticket, body []byte) *problem {
	to, ok := v.Node(t.Node)
	if !ok || r.Context().Value(relayedKey{}) != nil {
		return ticketProblem(once.ErrUnknown)
	}
	out := h.newPassing(w)
	defer out.release()
	_, err := h.config.Relays.Relay(r.Context(), to.Peer, peer.Relayed{
		Method: r.Method, URI: r.URL.RequestURI(), Header: relayedHeader(r.Header), Body: body,
	}, out)
	if err == nil {
		err = out.finish()
	}
	switch {
	case err == nil:
		return nil
	case out.told:
		// The other node has told the caller.
		panic(http.ErrAbortHandler)
	case out.begun:
		endEarly(out.events, h.ended(err))
	case errors.Is(err, endpoint.ErrFull), r.Context().Err() != nil:
		return h.ended(err)
	}
	return ticketProblem(once.ErrUnknown)
}

// freshTickets returns tickets for the caller's account; none where the caller
// shows no key.
func (h *Handler) freshTickets(r *http.Request, n int) []string {
	_, a, p := h.admit(r)
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

// addTicket offers a fresh ticket with a refusal.
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

// ticketProblem says what is known of the request of a ticket that cannot be
// redeemed. A ticket that cannot be read or told is not proof that the request
// was not run under it.
func ticketProblem(err error) *problem {
	text := err.Error()
	switch {
	case errors.Is(err, ticket.ErrFormat):
		return &problem{status: http.StatusBadRequest, kind: "ticket_format", text: text, ran: RanUnknown}
	case errors.Is(err, once.ErrVoid):
		return &problem{status: http.StatusConflict, kind: "ticket_void", text: text, ran: RanNot}
	case errors.Is(err, once.ErrUsed), errors.Is(err, once.ErrGone):
		return &problem{status: http.StatusConflict, kind: "ticket_used", text: text, ran: RanYes}
	case errors.Is(err, once.ErrOther):
		return &problem{status: http.StatusConflict, kind: "ticket_other", text: text, ran: RanUnknown}
	case errors.Is(err, once.ErrFull):
		return &problem{status: http.StatusServiceUnavailable, kind: "tickets_full", text: text, ran: RanNot, retry: retryDelay()}
	default:
		return &problem{status: http.StatusConflict, kind: "ticket_unknown", text: text, ran: RanUnknown}
	}
}

// printOf identifies a request, so that a ticket's answer never goes to another
// request of the same account.
func printOf(r *http.Request, body []byte) once.Print {
	digest := sha256.New()
	for _, part := range []string{r.Method, r.URL.RequestURI()} {
		digest.Write([]byte(part))
		digest.Write([]byte{0})
	}
	digest.Write(body)
	return once.Print(digest.Sum(nil))
}

// relayedHeader returns the headers that the other node needs.
func relayedHeader(from http.Header) http.Header {
	header := chosen(from)
	for name, values := range from {
		if name == "Authorization" || name == "Content-Type" || strings.HasPrefix(name, extensionStart) {
			header[name] = values
		}
	}
	return header
}

func writeState(w http.ResponseWriter, status int, t ticket.Ticket, s once.State) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(TicketState{Ticket: t.String(), State: s})
}
