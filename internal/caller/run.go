package caller

import (
	"context"
	"errors"
	"net/http"

	"bulrushhinge.example/bulrushhinge/internal/dispatch"
	"bulrushhinge.example/bulrushhinge/internal/endpoint"
	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/once"
	"bulrushhinge.example/bulrushhinge/internal/poison"
	"bulrushhinge.example/bulrushhinge/internal/route"
	"bulrushhinge.example/bulrushhinge/pkg/manifest"
	"bulrushhinge.example/bulrushhinge/pkg/ticket"
)

// work is an admitted request on its way to an endpoint.
type work struct {
	view    *kernel.View
	account manifest.Account
	request route.Request
	call    endpoint.Call
	// answer passes the endpoint's answer on. It returns an error unless the
	// answer came whole.
	answer func(w http.ResponseWriter, run *dispatch.Run) error
}

// firstWrite tells whether an answer has begun.
type firstWrite struct {
	http.ResponseWriter
	started bool
}

// WriteHeader writes the head of the answer.
func (w *firstWrite) WriteHeader(status int) {
	w.started = true
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a piece of the answer.
func (w *firstWrite) Write(data []byte) (int, error) {
	w.started = true
	return w.ResponseWriter.Write(data)
}

// Unwrap returns the writer below, for http.ResponseController.
func (w *firstWrite) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// run carries a request out: at once, or by its ticket where it must not be
// repeated.
func (h *Handler) run(w http.ResponseWriter, r *http.Request, k work) {
	k.request.Print = poison.Print(k.account.Name, []byte(k.call.Method), []byte(k.call.Path), k.call.Body)
	if k.request.Once {
		h.runOnce(w, r, k)
		return
	}
	h.carry(r.Context(), w, k)
}

// carry dispatches a request and passes its answer on. It returns what became
// of the request.
func (h *Handler) carry(ctx context.Context, w http.ResponseWriter, k work) once.State {
	ctx, cancel := context.WithDeadline(ctx, k.request.Deadline)
	defer cancel()
	out := &firstWrite{ResponseWriter: w}
	run, err := h.config.Dispatcher.Do(ctx, k.request, k.call)
	for err == nil {
		cut := k.answer(out, run)
		if cut == nil || out.started || !errors.Is(cut, endpoint.ErrCut) {
			if errors.Is(cut, endpoint.ErrCut) {
				run.Fail(ctx, cut)
			}
			_ = run.Close()
			return answered(out, cut)
		}
		// The caller has seen nothing of the cut answer, so that another
		// endpoint may still give a whole one.
		run, err = run.Retry(ctx, cut)
	}
	p := refused(err)
	if k.request.Once && p.ran == RanNot {
		h.addTicket(w, k.account.Name)
	}
	p.write(w)
	if p.ran == RanNot {
		return once.Void
	}
	return once.Unknown
}

func answered(out *firstWrite, err error) once.State {
	if err == nil {
		return once.Done
	}
	if !out.started {
		cutProblem().write(out)
	}
	return once.Unknown
}

// runOnce redeems the request's ticket. The first copy of the request runs
// apart from its caller's connection, until its deadline; every copy is
// answered from that one run.
func (h *Handler) runOnce(w http.ResponseWriter, r *http.Request, k work) {
	text := r.Header.Get(HeaderTicket)
	if text == "" {
		h.addTicket(w, k.account.Name)
		ticketRequired().write(w)
		return
	}
	t, err := ticket.Parse(text)
	if err != nil {
		ticketProblem(err).write(w)
		return
	}
	if t.Node != k.view.Self.Name {
		ctx, cancel := context.WithDeadline(r.Context(), k.request.Deadline)
		defer cancel()
		if !h.relay(w, r.WithContext(ctx), k.view, t, k.call.Body) {
			ticketProblem(once.ErrUnknown).write(w)
		}
		return
	}
	record, first, err := h.config.Tickets.Redeem(t, k.account.Name, printOf(r, k.call.Body))
	if err != nil {
		if errors.Is(err, once.ErrVoid) {
			h.addTicket(w, k.account.Name)
		}
		ticketProblem(err).write(w)
		return
	}
	h.join(w, r, k, record, first)
}

func (h *Handler) join(w http.ResponseWriter, r *http.Request, k work, record *once.Record, first bool) {
	reader, err := record.Join()
	if err != nil {
		ticketProblem(err).write(w)
		return
	}
	if first {
		ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), k.request.Deadline)
		record.Run(ctx, func(ctx context.Context, w http.ResponseWriter) once.State {
			defer cancel()
			return h.carry(ctx, w, k)
		})
	}
	ctx, cancel := context.WithDeadline(r.Context(), k.request.Deadline)
	defer cancel()
	started, err := reader.Copy(ctx, w)
	switch {
	case err == nil:
	case started:
		// The caller must see that the answer was cut.
		panic(http.ErrAbortHandler)
	default:
		stillRunning().write(w)
	}
}

func stillRunning() *problem {
	return &problem{
		status: http.StatusGatewayTimeout, kind: string(route.ReasonDeadline),
		text: "no answer yet; come back with the same ticket", ran: RanUnknown, retry: DefaultRetry,
	}
}
