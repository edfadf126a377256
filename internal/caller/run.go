package caller

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/dispatch"
	"bulrushhinge.example/bulrushhinge/internal/endpoint"
	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/once"
	"bulrushhinge.example/bulrushhinge/internal/poison"
	"bulrushhinge.example/bulrushhinge/internal/route"
	"bulrushhinge.example/bulrushhinge/pkg/manifest"
	"bulrushhinge.example/bulrushhinge/pkg/ticket"
)

// endMargin is how much longer than its run the first copy of a request waits.
const endMargin = 500 * time.Millisecond

// work is an admitted request on its way to an endpoint.
type work struct {
	view    *kernel.View
	account manifest.Account
	request route.Request
	call    endpoint.Call
	// seated gives back the place of a request that waits for an endpoint.
	seated func()
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
	w.Header().Set(HeaderRequest, strconv.FormatUint(k.request.ID, 16))
	if k.request.Once {
		h.runOnce(w, r, k)
		return
	}
	if _, err := h.carry(r.Context(), w, k); err != nil {
		endEarly(newEvents(w, h.config.WriteTimeout), h.ended(err))
	}
}

// carry dispatches a request and passes its answer on. It returns what became
// of the request, and an error where the answer that w got was cut.
func (h *Handler) carry(ctx context.Context, w http.ResponseWriter, k work) (once.State, error) {
	ctx, cancel := context.WithDeadline(ctx, k.request.Deadline)
	defer cancel()
	out := &firstWrite{ResponseWriter: w}
	run, err := h.config.Dispatcher.Do(ctx, k.request, k.call)
	var last error
	for err == nil {
		k.seated()
		cut := k.answer(out, run)
		if cut == nil {
			return once.Done, run.Close()
		}
		h.logBroken(cut, k.request, run)
		if out.started || !errors.Is(cut, endpoint.ErrCut) {
			return once.Unknown, h.giveUp(ctx, out, k, run, cut)
		}
		// The caller has seen nothing of the cut answer, so that another
		// endpoint may still give a whole one.
		last = cut
		run, err = run.Retry(ctx, cut)
	}
	if last != nil {
		h.broken(last, k.request.Deadline).write(w)
		return once.Unknown, nil
	}
	return h.refuse(w, k, err), nil
}

// giveUp ends a run whose answer was cut beyond repair. It returns an error
// where the answer had begun.
func (h *Handler) giveUp(ctx context.Context, out *firstWrite, k work, run *dispatch.Run, cut error) error {
	if errors.Is(cut, endpoint.ErrCut) {
		run.Fail(ctx, cut)
	}
	_ = run.Close()
	p := h.broken(cut, k.request.Deadline)
	if out.started {
		return &early{problem: p.under(k.request), cause: cut}
	}
	p.write(out)
	return nil
}

func (h *Handler) refuse(w http.ResponseWriter, k work, err error) once.State {
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
		ticketProblem(err).write(sure(w))
		return
	}
	if t.Node != k.view.Self.Name {
		ctx, cancel := context.WithDeadline(r.Context(), k.request.Deadline)
		defer cancel()
		if p := h.relay(w, r.WithContext(ctx), k.view, t, k.call.Body); p != nil {
			p.write(sure(w))
		}
		return
	}
	record, first, err := h.config.Tickets.Redeem(t, k.account.Name, printOf(r, k.call.Body))
	if err != nil {
		if errors.Is(err, once.ErrVoid) {
			h.addTicket(w, k.account.Name)
		}
		ticketProblem(err).write(sure(w))
		return
	}
	h.join(w, r, k, record, first)
}

func (h *Handler) join(w http.ResponseWriter, r *http.Request, k work, record *once.Record, first bool) {
	reader, err := record.Join()
	if err != nil {
		ticketProblem(err).write(sure(w))
		return
	}
	if first {
		ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), k.request.Deadline)
		k.seated()
		record.Run(ctx, func(ctx context.Context, w http.ResponseWriter) (once.State, error) {
			defer cancel()
			return h.carryApart(ctx, w, k)
		})
	}
	deadline := k.request.Deadline
	if first {
		// Its run has the same deadline, and says how it ended.
		deadline = deadline.Add(endMargin)
	}
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	out := h.newPassing(w)
	defer out.release()
	if _, err = reader.Copy(ctx, out); err == nil {
		err = out.finish()
	}
	switch {
	case err == nil:
	case out.begun:
		endEarly(out.events, h.ended(err))
	default:
		h.ended(err).write(w)
	}
}

// carryApart carries a request out that is not bound to its caller's
// connection. It takes places of its own: a caller that sends and hangs up must
// not fill the node beyond its bounds.
func (h *Handler) carryApart(ctx context.Context, w http.ResponseWriter, k work) (once.State, error) {
	leave, ok := h.slots.enter()
	if !ok {
		busy(http.StatusServiceUnavailable, "the node serves too many requests").write(w)
		return once.Void, nil
	}
	defer leave()
	done, p := h.slots.wait(k.account.Name)
	if p != nil {
		p.write(w)
		return once.Void, nil
	}
	defer done()
	held, ok := h.slots.hold(int64(len(k.call.Body)))
	if !ok {
		fullOfBodies().write(w)
		return once.Void, nil
	}
	defer held.release()
	k.seated = done
	return h.carry(ctx, w, k)
}
