// Package entry speaks to the fleet as a caller does: it asks which nodes to
// use, keeps the answer until it expires, sends requests, and tells a whole
// answer from a cut one.
package entry

import (
	"fmt"
	"net/netip"
	"time"
)

// Headers between callers and nodes.
const (
	// HeaderChat names the caller's chat; it is kept apart for each client
	// account.
	HeaderChat = "X-Chat"
	// HeaderHint carries the chat's hint, both ways.
	HeaderHint = "X-Hint"
	// HeaderOnce marks a request that must not be repeated: "true" or "1".
	HeaderOnce = "X-Once"
	// HeaderTimeout is how long the caller waits for the whole answer, as a
	// Go duration such as 30s.
	HeaderTimeout = "X-Timeout"
	// HeaderPriority orders the account's requests; higher goes first. It
	// cannot rise above the account's own.
	HeaderPriority = "X-Priority"
	// HeaderRequest names the request in logs and decision traces.
	HeaderRequest = "X-Request-Id"
	// HeaderRan is whether the request was run; it stands on every answer of
	// a chat or plain service.
	HeaderRan = "X-Ran"
	// HeaderTicket carries the ticket of a request that must not be repeated,
	// and a fresh ticket from a node that asks for one.
	HeaderTicket = "X-Ticket"
)

// Paths of the nodes' interface for callers.
const (
	PathEntry    = "/v1/entry"
	PathChat     = "/v1/chat/completions"
	PathServices = "/v1/services/"
	PathTickets  = "/v1/tickets/"
)

// DoneMark is the data of the event that ends a whole stream.
const DoneMark = "[DONE]"

// What is known of a request.
const (
	// RanNot means that no endpoint ran the request, for certain.
	RanNot Ran = "not_run"
	// RanUnknown means that an endpoint may have run the request.
	RanUnknown Ran = "unknown"
	// RanYes means that an endpoint ran the request, wholly or in part.
	RanYes Ran = "ran"
)

type (
	// Ran is whether a request was run.
	Ran string

	// Answer says which nodes a caller uses.
	Answer struct {
		// Nodes is where to connect, best first.
		Nodes []netip.AddrPort `json:"nodes"`
		// KeepMS is how long the answer may be kept, in milliseconds.
		KeepMS int64 `json:"keep_ms"`
		// Tickets are for requests that must not be repeated; they come only
		// to a caller that shows its key.
		Tickets []string `json:"tickets,omitempty"`
	}

	// Problem is the body of a refusal, and the data of the event that ends a
	// cut stream.
	Problem struct {
		Error Refusal `json:"error"`
	}

	// Refusal is why a request got no whole answer. It is an error.
	Refusal struct {
		Type    string `json:"type"`
		Message string `json:"message"`
		Ran     Ran    `json:"ran"`
		// RetryAfterMS is when the caller may come back, in milliseconds; 0
		// where coming back does not help.
		RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
		// Status is the HTTP status; 0 where the refusal ended a stream or no
		// node answered.
		Status int `json:"-"`
		// Ticket is the ticket under which to send the request again; it gets
		// the answer that was made, if one was.
		Ticket string `json:"-"`

		cause error
	}
)

// Keep returns how long the answer may be kept.
func (a Answer) Keep() time.Duration { return time.Duration(a.KeepMS) * time.Millisecond }

// RetryAfter returns when the caller may come back; 0 where coming back does
// not help.
func (r *Refusal) RetryAfter() time.Duration {
	return time.Duration(r.RetryAfterMS) * time.Millisecond
}

// Unwrap returns the error that the refusal stands for, if any.
func (r *Refusal) Unwrap() error { return r.cause }

// Error describes the refusal.
func (r *Refusal) Error() string {
	return fmt.Sprintf("entry: refused: %s (%s): %s", r.Type, r.Ran, r.Message)
}
