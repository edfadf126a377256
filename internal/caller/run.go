package caller

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/atmostonce"
	"bulrushhinge.example/bulrushhinge/internal/dispatch"
	"bulrushhinge.example/bulrushhinge/internal/endpoint"
	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/poison"
	"bulrushhinge.example/bulrushhinge/internal/route"
	"bulrushhinge.example/bulrushhinge/pkg/manifest"
	"bulrushhinge.example/bulrushhinge/pkg/ticket"
)

// endMargin is how long the first copy of a request waits after the deadline of
// its run.
const endMargin = 500 * time.Millisecond

// work is a validated request that is ready for dispatch.
type work struct {
	view    *kernel.View
	account manifest.Account
	request route.Request
	call    endpoint.Call
	// stopWaiting frees the slot of a request that waits for an endpoint.
	stopWaiting func()
	// answer forwards the endpoint's answer. It returns an error if the answer is
	// incomplete.
	answer func(w http.ResponseWriter, run *dispatch.Run) error
}

// forward forwards the answer of a run. If that panics, it closes the run first: the
// endpoint would otherwise go on and its permit count until its lease ends.
func (k *work) forward(w http.ResponseWriter, run *dispatch.Run) error {
	panicked := true
	defer func() {
		if panicked {
			_ = run.Close()
		}
	}()
	err := k.answer(w, run)
	panicked = false
	return err
}

// run executes a request: directly, or with its ticket if it must not be
// repeated.
func (h *Handler) run(w http.ResponseWriter, r *http.Request, k work) {
	k.request.Fingerprint = poison.Fingerprint(k.account.Name, []byte(k.call.Method), []byte(k.call.Path), k.call.Body)
	w.Header().Set(HeaderRequest, strconv.FormatUint(k.request.ID, 16))
	if k.request.AtMostOnce {
		h.runOnce(w, r, k)
		return
	}
	if _, err := h.execute(r.Context(), w, k); err != nil {
		abort(newEventWriter(w, h.config.WriteTimeout), h.incompleteProblem(err))
	}
}

// execute dispatches a request and forwards its answer. It returns the outcome of
// the request, and an error if the answer written to w is truncated.
func (h *Handler) execute(ctx context.Context, w http.ResponseWriter, k work) (atmostonce.State, error) {
	ctx, cancel := context.WithDeadline(ctx, k.request.Deadline)
	defer cancel()
	out := &startedWriter{ResponseWriter: w}
	run, err := h.config.Dispatcher.Do(ctx, k.request, k.call)
	var last error
	for err == nil {
		k.stopWaiting()
		answerErr := k.forward(out, run)
		if answerErr == nil {
			return atmostonce.Done, run.Close()
		}
		h.logIncomplete(ctx, answerErr, k.request, run)
		if out.started || !errors.Is(answerErr, endpoint.ErrCut) {
			return atmostonce.Unknown, h.abandon(ctx, out, k, run, answerErr)
		}
		// Nothing of the truncated answer was sent to the caller, so another
		// endpoint can still provide a complete one.
		last = answerErr
		run, err = run.Retry(ctx, answerErr)
	}
	if last != nil {
		h.answerProblem(last, k.request.Deadline).asRecorded().write(w)
		return atmostonce.Unknown, nil
	}
	return h.writeRefusal(w, k, err), nil
}

// abandon ends a run whose answer is incomplete and cannot be retried. It returns
// an error if the answer has started, else it writes the problem.
func (h *Handler) abandon(ctx context.Context, out *startedWriter, k work, run *dispatch.Run, cause error) error {
	if errors.Is(cause, endpoint.ErrCut) {
		run.Fail(ctx, cause)
	}
	_ = run.Close()
	p := h.answerProblem(cause, k.request.Deadline)
	if out.started {
		return &truncatedError{problem: p.forCopies(k.request), cause: cause}
	}
	p.asRecorded().write(out)
	return nil
}

// writeRefusal writes the refusal of a request, with a new ticket if the request
// needs one and did not run.
func (h *Handler) writeRefusal(w http.ResponseWriter, k work, err error) atmostonce.State {
	p := h.refusalProblem(err)
	if k.request.AtMostOnce && p.ran == RanNot {
		h.addTicket(w, k.account.Name)
	}
	p.write(w)
	if p.ran == RanNot {
		return atmostonce.Void
	}
	return atmostonce.Unknown
}

// runOnce redeems the request's ticket. The first copy of the request starts a
// run that is independent of its caller's connection and ends at its deadline.
// All copies are answered from that run.
func (h *Handler) runOnce(w http.ResponseWriter, r *http.Request, k work) {
	text := r.Header.Get(HeaderTicket)
	if text == "" {
		h.addTicket(w, k.account.Name)
		ticketRequired().write(w)
		return
	}
	t, err := ticket.Parse(text)
	if err != nil {
		ticketProblem(err).write(checked(w))
		return
	}
	if t.Node != k.view.Self.Name {
		ctx, cancel := context.WithDeadline(r.Context(), k.request.Deadline)
		defer cancel()
		if p := h.relay(w, r.WithContext(ctx), k.view, t, k.call.Body); p != nil {
			p.write(checked(w))
		}
		return
	}
	record, first, err := h.config.Tickets.Redeem(t, k.account.Name, requestDigest(r, k.call.Body))
	if err != nil {
		if errors.Is(err, atmostonce.ErrVoid) {
			h.addTicket(w, k.account.Name)
		}
		ticketProblem(err).write(checked(w))
		return
	}
	h.serveRecord(w, r, k, record, first)
}

// serveRecord answers a copy of a request from its record. The first copy starts the run.
func (h *Handler) serveRecord(w http.ResponseWriter, r *http.Request, k work, record *atmostonce.Record, first bool) {
	reader, err := record.Join()
	if err != nil {
		ticketProblem(err).write(checked(w))
		return
	}
	if first {
		ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), k.request.Deadline)
		k.stopWaiting()
		record.Run(ctx, func(ctx context.Context, w http.ResponseWriter) (atmostonce.State, error) {
			defer cancel()
			return h.executeDetached(ctx, w, k)
		})
	}
	deadline := k.request.Deadline
	if first {
		// The run has the same deadline and reports its outcome shortly after.
		deadline = deadline.Add(endMargin)
	}
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	out := h.newTicketWriter(w)
	defer out.release()
	if _, err = reader.Copy(ctx, out); err == nil {
		err = out.finish()
	}
	if err == nil {
		return
	}
	h.logCopy(ctx, err, h.requestLog(k.request))
	if out.started {
		abort(out.events, h.incompleteProblem(err))
	}
	h.incompleteProblem(err).asRecorded().write(w)
}

// executeDetached executes a request independently of its caller's connection. It
// takes its own slots and memory: a caller that sends requests and disconnects
// must not load the node beyond its limits.
func (h *Handler) executeDetached(ctx context.Context, w http.ResponseWriter, k work) (state atmostonce.State, err error) {
	out := &resultWriter{startedWriter: startedWriter{ResponseWriter: w}}
	defer func() {
		if value := recover(); value != nil {
			state, err = atmostonce.Unknown, h.panicked(out, k.request, value)
		}
	}()
	defer func() { logProblem(out.problem, h.requestLog(k.request)) }()
	leave, ok := h.slots.enter()
	if !ok {
		busy(http.StatusServiceUnavailable, "the node serves too many requests").write(out)
		return atmostonce.Void, nil
	}
	defer leave()
	done, p := h.slots.startWaiting(k.account.Name)
	if p != nil {
		p.write(out)
		return atmostonce.Void, nil
	}
	defer done()
	held, ok := h.slots.reserve(int64(len(k.call.Body)))
	if !ok {
		bodyMemoryFull().write(out)
		return atmostonce.Void, nil
	}
	defer held.release()
	k.stopWaiting = done
	return h.execute(ctx, out, k)
}
