package gateway

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/http1"
)

const (
	// leavingValue is the value of the Leaving header of a leaving endpoint.
	leavingValue = "1"
	// sourceAnswer is the source of a leave notice in an endpoint's response.
	sourceAnswer = "answer"
)

// Notice is what an endpoint reports about itself in a response's headers.
type Notice struct {
	// Leaving says that it is shutting down and accepts no new requests.
	Leaving bool
	// Backoff is the backoff that it asks of this node, 0 if it asks for none.
	Backoff time.Duration
	// Brittle says that it falls over if it has to turn away more than a few requests
	// in a second.
	Brittle bool
}

// Notice reads an endpoint's notice from a response.
//
// With status 421 another process at the address has responded, which says nothing
// about the endpoint that the request was meant for.
func (h Headers) Notice(status int, header http.Header) Notice {
	if status == http.StatusMisdirectedRequest {
		return Notice{}
	}
	limit, err := strconv.Atoi(header.Get(h.Brittle))
	n := Notice{Brittle: err == nil && limit >= 0, Leaving: slices.ContainsFunc(header[h.Leaving], func(v string) bool { return strings.TrimSpace(v) == leavingValue })}
	if http1.IsOverload(status) {
		n.Backoff = http1.RetryAfter(header[h.RetryAfter])
	}
	return n
}

// applyNotice passes an endpoint's notice to the deployment and the balancer.
func (c *call) applyNotice(e *deployment.Endpoint, n Notice) {
	h := c.handler.config
	if n.Leaving {
		h.Deployment.RecordLeave(e.Start(), sourceAnswer)
	}
	if n.Brittle {
		h.Balancer.SetBrittle(time.Now(), c.service.Name)
	}
	if n.Backoff > 0 {
		h.Balancer.Backoff(time.Now(), e.Start(), n.Backoff)
	}
}
