package gateway

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/http1"
)

const (
	// leavingValue is what the header of a leaving endpoint holds.
	leavingValue = "1"
	// sourceAnswer is the source of what an endpoint has said to this node.
	sourceAnswer = "answer"
)

// Notice is what an endpoint says of itself in an answer, beside the answer.
type Notice struct {
	// Leaving says that it will end, and takes no new requests.
	Leaving bool
	// Rest is for how long it wants nothing from this node, 0 if it does not say.
	Rest time.Duration
}

// Notice reads what an endpoint says of itself in an answer.
//
// An answer that another process gave for the one that was asked says nothing of
// that one.
func (h Headers) Notice(status int, header http.Header) Notice {
	if status == http.StatusMisdirectedRequest {
		return Notice{}
	}
	n := Notice{Leaving: slices.ContainsFunc(header[h.Leaving], func(v string) bool { return strings.TrimSpace(v) == leavingValue })}
	if http1.Refuses(status) {
		n.Rest = http1.RetryAfter(header[h.Rest])
	}
	return n
}

// heed takes what an endpoint has said of itself in an answer.
func (c *call) heed(e *deployment.Endpoint, n Notice) {
	h := c.handler.config
	if n.Leaving {
		h.Deployment.Leaving(e.Start(), sourceAnswer)
	}
	if n.Rest > 0 {
		h.Balancer.Rest(time.Now(), e.Start(), n.Rest)
	}
}
