package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"slices"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/handover"
)

// maxTaken bounds the requests of other nodes that this node serves at a time. Each
// takes some 100 KB at most, of 284 MB in the smallest installations.
const maxTaken = 512

// Reasons why a request that another node offers is not taken.
const (
	declineStopping = "stopping"
	declineConfig   = "older configuration"
	declineService  = "service not reached"
	declineBusy     = "busy"
	declineURI      = "malformed"
)

// handed is a request that another node has handed over.
type handed struct {
	// from is that node's name, and service the service that it has drawn.
	from    string
	service string
	// deadline, kind and attempts are those by which that node has admitted the request.
	deadline time.Time
	kind     deployment.Kind
	attempts int
	out      *handover.Writer
}

// Take implements handover.Handler. The configuration in force here must not be older
// than the one by which the other node has admitted the request.
func (h *Handler) Take(o *handover.Offer) (reason string) {
	config := h.config.Deployment.Snapshot().Config
	_, err := url.ParseRequestURI(o.URI)
	switch {
	case err != nil || o.Size < 0 || o.Method == "":
		return declineURI
	case h.config.Stopping():
		return declineStopping
	case config == nil || config.Version < o.Version:
		return declineConfig
	case !h.config.Reach.Reaches(o.Service):
		return declineService
	}
	if !h.hold(o.Size) {
		return declineBusy
	}
	if h.taken.Add(1) > maxTaken {
		h.Release(o)
		return declineBusy
	}
	return ""
}

// Release implements handover.Handler.
func (h *Handler) Release(o *handover.Offer) {
	h.taken.Add(-1)
	h.heldBytes.Add(-o.Size)
}

// Hand implements handover.Handler.
func (h *Handler) Hand(ctx context.Context, o *handover.Offer, body []byte, w *handover.Writer) {
	target, err := url.ParseRequestURI(o.URI)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	r := &http.Request{
		Method: o.Method, URL: target, RequestURI: o.URI, Host: o.Host, Header: o.Header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body)),
	}
	p := o.Progress
	c := &call{
		handler: h, out: w, in: r.WithContext(ctx), id: o.Header.Get(h.config.Headers.RequestID), started: time.Now().Add(-o.Age),
		handed: &handed{from: o.From, service: o.Service, deadline: time.Now().Add(o.Left), kind: o.Kind, attempts: o.Attempts, out: w},
		progress: progress{
			tried: p.Tried, sends: p.Sends, runs: p.Runs, lastEvent: p.LastEvent, events: p.Events, started: p.Started,
			counted: p.Counted, excess: p.Excess, last: p.Last,
		},
	}
	defer c.recovered()
	h.serve(c)
}

// admitHanded ends the admission of another node's request, which keeps its time and its
// attempts. A route of another kind, or to other services, is that of a newer
// configuration.
func (c *call) admitHanded() *refusal {
	f := c.handed
	if c.route.Kind != f.kind || !slices.ContainsFunc(c.route.Split, func(s deployment.Share) bool { return s.Service == f.service }) {
		return notRun(reasonOtherConfig, retrySoon)
	}
	route := *c.route
	route.Attempts = f.attempts
	c.route, c.deadline = &route, f.deadline.Add(-hopMargin)
	return nil
}

// refuse passes a refusal to the node that has handed the request over.
func (f *handed) refuse(c *call, r *refusal, cause string) {
	f.out.Refuse(handover.Refusal{
		Status: r.status, Reason: r.reason, RetryAfter: r.retryAfter, Sends: c.progress.sends, Runs: c.progress.runs,
		Cause: cause, Last: c.progress.last,
	})
}
