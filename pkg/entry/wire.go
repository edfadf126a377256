// Package entry is the client of the fleet: it asks which nodes to use, caches
// the answer until it expires, sends requests, and distinguishes complete from
// cut answers.
package entry

import (
	"fmt"
	"net/netip"
	"time"
)

// Headers between callers and nodes.
const (
	// HeaderChat names the caller's chat; each client account has its own
	// names.
	HeaderChat = "X-Chat"
	// HeaderHint carries the chat's hint, in both directions.
	HeaderHint = "X-Hint"
	// HeaderOnce marks a request that must not be repeated: "true" or "1".
	HeaderOnce = "X-Once"
	// HeaderTimeout is how long the caller waits for the complete response, as
	// a Go duration such as 30s.
	HeaderTimeout = "X-Timeout"
	// HeaderPriority orders the account's requests; higher goes first. It
	// cannot exceed the account's own priority.
	HeaderPriority = "X-Priority"
	// HeaderRequest is the request's ID in logs and decision traces.
	HeaderRequest = "X-Request-Id"
	// HeaderRan is whether the request was run; every response of a chat or
	// plain service has it.
	HeaderRan = "X-Ran"
	// HeaderTicket carries the ticket of a request that must not be repeated,
	// and a new ticket from a node that requires one.
	HeaderTicket = "X-Ticket"
)

// Paths of the nodes' API for callers.
const (
	PathEntry    = "/v1/entry"
	PathChat     = "/v1/chat/completions"
	PathServices = "/v1/services/"
	PathTickets  = "/v1/tickets/"
)

// DoneMark is the data of the event that ends a complete stream.
const DoneMark = "[DONE]"

// Whether a request was run, as far as is known.
const (
	// RanNot means that certainly no endpoint ran the request.
	RanNot Ran = "not_run"
	// RanUnknown means that an endpoint may have run the request.
	RanUnknown Ran = "unknown"
	// RanYes means that an endpoint ran the request, completely or in part.
	RanYes Ran = "ran"
)

type (
	// Ran is whether a request was run.
	Ran string

	// Answer is the response to an entry request: the nodes for a caller to
	// use.
	Answer struct {
		// Nodes are the addresses to connect to, best first.
		Nodes []netip.AddrPort `json:"nodes"`
		// KeepMS is how long the answer may be kept, in milliseconds.
		KeepMS int64 `json:"keep_ms"`
		// Tickets are for requests that must not be repeated; only a caller
		// that sends its key gets them.
		Tickets []string `json:"tickets,omitempty"`
	}

	// Problem is the body of a refusal, and the data of the event that ends a
	// cut stream.
	Problem struct {
		Error Refusal `json:"error"`
	}

	// Refusal is the reason for which a request got no complete answer. It is
	// an error.
	Refusal struct {
		Type    string `json:"type"`
		Message string `json:"message"`
		Ran     Ran    `json:"ran"`
		// RetryAfterMS is the delay before a retry, in milliseconds; 0 if a
		// retry does not help.
		RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
		// Status is the HTTP status; 0 if the refusal ended a stream or no node
		// responded.
		Status int `json:"-"`
		// Ticket is the ticket with which to retry the request; if the request
		// was answered, the retry gets that answer.
		Ticket string `json:"-"`

		cause error
	}
)

// Keep returns how long the answer may be kept.
func (a Answer) Keep() time.Duration { return time.Duration(a.KeepMS) * time.Millisecond }

// RetryAfter returns the delay before a retry; 0 if a retry does not help.
func (r *Refusal) RetryAfter() time.Duration {
	return time.Duration(r.RetryAfterMS) * time.Millisecond
}

// Unwrap returns the refusal's cause, if any.
func (r *Refusal) Unwrap() error { return r.cause }

// Error describes the refusal.
func (r *Refusal) Error() string {
	return fmt.Sprintf("entry: refused: %s (%s): %s", r.Type, r.Ran, r.Message)
}
