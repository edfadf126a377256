// Package trace defines the format of recorded traces: JSON lines, first a header
// and then one event per line, ordered by time. Times are Go durations since the
// start of the trace.
package trace

import (
	"errors"
	"time"
)

// Kinds of events.
const (
	// Ask is a request of a caller.
	Ask Kind = "ask"
	// Join is the start of an endpoint or node.
	Join Kind = "join"
	// Leave is the announcement of the planned stop of an endpoint or node.
	Leave Kind = "leave"
	// Kill is the abrupt end of an endpoint or node.
	Kill Kind = "kill"
	// Crash makes each endpoint crash that runs the next request of a chat.
	Crash Kind = "crash"
	// Accept is the acceptance of a new revision.
	Accept Kind = "accept"
)

// ErrFormat is returned if a trace is malformed. The message contains the line,
// counted from 1.
var ErrFormat = errors.New("trace: bad format")

type (
	// Kind is the kind of an event.
	Kind string

	// Duration is a time.Duration that is encoded as text, such as "1.25s".
	Duration time.Duration

	// Header is the first line of a trace.
	Header struct {
		// Name is the name of the deployment.
		Name string `json:"name"`
		Seed uint64 `json:"seed"`
		// Bound is the multiple of the mean load that no engine may exceed.
		Bound float64 `json:"bound"`
		// Delay is the one-way network delay between two nodes.
		Delay     Duration   `json:"delay"`
		Zones     []string   `json:"zones"`
		Nodes     []Node     `json:"nodes"`
		Models    []Model    `json:"models"`
		Endpoints []Endpoint `json:"endpoints"`
		Accounts  []Account  `json:"accounts"`
	}

	// Node is a node of the fleet.
	Node struct {
		Instance string `json:"instance"`
		Zone     string `json:"zone"`
	}

	// Model is what a set of identical endpoints serves: a model or a plain
	// service.
	Model struct {
		Name string `json:"name"`
		// Plain is set for a service of plain requests, which caches nothing.
		Plain bool `json:"plain,omitempty"`
		// Step is the duration of one batch step of an endpoint.
		Step Duration `json:"step"`
		// Cache is the size of the prefix cache of an endpoint, in tokens.
		Cache int `json:"cache,omitempty"`
		// Import is the rate at which an endpoint imports prefixes from another,
		// in tokens per second; 0 if it cannot.
		Import int `json:"import,omitempty"`
	}

	// Endpoint is an endpoint that serves a model.
	Endpoint struct {
		Endpoint string `json:"endpoint"`
		Zone     string `json:"zone"`
		Model    string `json:"model"`
	}

	// Account is a client account and its limits.
	Account struct {
		Account string `json:"account"`
		// Rate is the limit over the whole fleet, in tokens per second.
		Rate float64 `json:"rate"`
		// Burst is in tokens.
		Burst    float64 `json:"burst"`
		Priority int     `json:"priority,omitempty"`
	}

	// Event is one line of a trace after the header.
	Event struct {
		At   Duration `json:"at"`
		Kind Kind     `json:"kind"`

		// Account to Deadline belong to an Ask; Chat also names the chat of a
		// Crash and Model the model of an endpoint that joins. The sizes are in
		// tokens: Prefix is the part of the prompt from earlier turns of the
		// chat, Input the new part, Output the answer.
		Account string `json:"account,omitempty"`
		Chat    string `json:"chat,omitempty"`
		Model   string `json:"model,omitempty"`
		Prefix  int    `json:"prefix,omitempty"`
		Input   int    `json:"input,omitempty"`
		Output  int    `json:"output,omitempty"`
		// Once is set for a request that must not be repeated.
		Once     bool     `json:"once,omitempty"`
		Priority int      `json:"priority,omitempty"`
		Deadline Duration `json:"deadline,omitzero"`

		// Endpoint is the name of the endpoint that joins or leaves, Zone the
		// zone in which an endpoint or node joins.
		Endpoint string `json:"endpoint,omitempty"`
		Zone     string `json:"zone,omitempty"`
		// Instance is the name of the node that joins or leaves, or of the node
		// or endpoint that is killed.
		Instance string `json:"instance,omitempty"`
		// Revision belongs to an Accept.
		Revision uint64 `json:"revision,omitempty"`
	}

	// Trace is a complete trace.
	Trace struct {
		Header Header
		Events []Event
	}
)

// MarshalText writes a duration as time.Duration does.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses a duration as time.ParseDuration does.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// Model returns the model with the given name.
func (h Header) Model(name string) (Model, bool) {
	for _, m := range h.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}
