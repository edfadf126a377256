package gateway

import (
	"iter"
	"net/http"
	"net/textproto"
	"strings"
)

type (
	// Headers are the names of the headers that the gateway interprets, in
	// canonical form.
	Headers struct {
		// RequestID identifies a request; the response repeats it.
		RequestID string
		// Deadline is how many milliseconds the caller waits.
		Deadline string
		APIKey   string
		// Account is the client account's name, sent to endpoints.
		Account string
		// ExpectEndpoint is the ID of the endpoint that a request is meant for; another
		// process may be at its address.
		ExpectEndpoint string
		// Load is an endpoint's report of its load and speed, which EndpointLoad
		// decodes. It returns an error for a malformed one.
		Load         string
		EndpointLoad func(header string) (EndpointLoad, error)
		// NotRun marks a response whose request did not run.
		NotRun string
		// Leaving marks a response of an endpoint that is leaving.
		Leaving string
		// Brittle marks a response of an endpoint that falls over if it has to turn
		// away more requests in a second than the header says.
		Brittle string
		// RetryAfter is, in a refusal, for how many seconds the endpoint wants no
		// requests from the node.
		RetryAfter string
		// Seal marks an endpoint's response.
		Seal string
		// Prompt lists the parts of a prompt, which PromptParts reads; Tokens is their
		// count, and Model the model that is requested.
		Prompt      string
		PromptParts func(prompt string) iter.Seq[Part]
		Tokens      string
		Model       string
		// Priority is a request's priority at an engine.
		Priority string
		// LastEventID is the ID of the last event that was received.
		LastEventID string
		// FetchFrom is the address of an endpoint from which a prompt's KV cache is
		// fetched.
		FetchFrom string
		// Reservation names the reservation that a request uses.
		Reservation string
		// Internal headers are set by the fleet and dropped from callers' requests.
		Internal []string
	}

	// EndpointLoad is what an endpoint reports of itself in a response.
	EndpointLoad struct {
		// Running and Waiting are its requests.
		Running, Waiting int
		// Slots is how many requests it runs at once; 0 if it does not report that.
		Slots int
		// Slowdown is how long work takes there at present, as a multiple of usual; 0
		// if it does not report that.
		Slowdown float64
	}

	// headerSet is a set of header names in canonical form.
	headerSet map[string]bool
)

var hopByHop = headerSet{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Expect": true, "Content-Length": true,
}

// endToEnd returns the headers that are forwarded: all but the hop-by-hop ones,
// which the standard or the Connection header names.
func endToEnd(from http.Header) http.Header {
	named := map[string]bool{}
	for _, list := range from["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	to := make(http.Header, len(from))
	for name, values := range from {
		if !hopByHop[name] && !named[name] {
			to[name] = values
		}
	}
	return to
}

// forEndpoint returns a caller's headers as an endpoint gets them at every
// attempt. Headers that the fleet sets itself are never taken from a caller: its
// request could run for another account, or continue from another one's KV cache.
func (h Headers) forEndpoint(from http.Header, account string) http.Header {
	to := endToEnd(from)
	// These are kept even if the Connection header lists them.
	for _, name := range []string{h.RequestID, h.Prompt, h.Tokens, h.Model, h.LastEventID} {
		if v, ok := from[name]; ok {
			to[name] = v
		}
	}
	for _, name := range h.Internal {
		delete(to, textproto.CanonicalMIMEHeaderKey(name))
	}
	delete(to, h.APIKey)
	delete(to, h.Deadline)
	if account != "" {
		to.Set(h.Account, account)
	}
	if _, ok := to["User-Agent"]; !ok {
		// An empty value keeps the standard library from adding its own.
		to["User-Agent"] = []string{""}
	}
	return to
}

// headerSize returns about how many bytes a request's head took on the wire.
func headerSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}
