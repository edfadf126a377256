package gateway

import (
	"net/http"
	"net/textproto"
	"strings"
)

type (
	// Headers are the names of the headers that say something to the gateway,
	// in canonical form.
	Headers struct {
		// RequestID names a request; the answer repeats it.
		RequestID string
		// Deadline is how many milliseconds the caller waits.
		Deadline string
		APIKey   string
		// Account tells an endpoint the client account's name.
		Account string
		// Expect tells the address which endpoint is meant.
		Expect string
		// Load is an endpoint's running and waiting requests and its slots.
		Load string
		// NotRun says in an answer that the request did not run.
		NotRun string
		// Leaving says in an answer that the endpoint leaves.
		Leaving string
		// Rest says in a refusal for how many seconds the endpoint wants nothing
		// from the node.
		Rest string
		// Seal marks an endpoint's answer.
		Seal string
		// Prompt lists the parts of a prompt, Tokens their count, and Model
		// the model that is asked for.
		Prompt string
		Tokens string
		Model  string
		// Priority is a request's rank at an engine.
		Priority string
		// LastEvent is the ID of the last event that arrived.
		LastEvent string
		// Fetch names an endpoint from which a prompt's memory is fetched.
		Fetch string
		// Reserved names the reservation that a request uses.
		Reserved string
		// Trusted are dropped from what callers send.
		Trusted []string
	}

	// hopHeaders concern one connection only.
	hopHeaders map[string]bool
)

var hop = hopHeaders{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Expect": true, "Content-Length": true,
}

// passed returns the headers that go on to the other side: all but those of one
// connection, named by the standard or by the Connection header itself.
func passed(from http.Header) http.Header {
	named := map[string]bool{}
	for _, list := range from["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	to := make(http.Header, len(from))
	for name, values := range from {
		if !hop[name] && !named[name] {
			to[name] = values
		}
	}
	return to
}

// forEndpoint returns a caller's headers as an endpoint gets them at every
// attempt. Headers that the fleet sets itself are never taken from a caller: its
// request could run for another account, or go on from the memory of another one.
func (h Headers) forEndpoint(from http.Header, account string) http.Header {
	to := passed(from)
	// A name that the Connection header lists must not take these from a request.
	for _, name := range []string{h.RequestID, h.Prompt, h.Tokens, h.Model, h.LastEvent} {
		if v, ok := from[name]; ok {
			to[name] = v
		}
	}
	for _, name := range h.Trusted {
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

// size is about what a request's head took on the wire.
func size(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}
