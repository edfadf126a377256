// Package trace holds the format of recorded traces: JSON lines, a header line
// first and then one event a line, in the order of their times. Times are Go
// durations since the start of the trace.
package trace

import (
	"errors"
	"time"
)

// Kinds of events.
const (
	// Ask is a request of a caller.
	Ask Kind = "ask"
	// Join is an endpoint or node that starts.
	Join Kind = "join"
	// Leave is an endpoint or node whose planned stop is announced.
	Leave Kind = "leave"
	// Kill is an endpoint or node that dies at once.
	Kill Kind = "kill"
	// Crash marks a chat: each endpoint that runs its next request dies.
	Crash Kind = "crash"
	// Accept is a new accepted revision.
	Accept Kind = "accept"
)

// ErrFormat is returned where a trace cannot be read. The message names the
// line, counted from 1.
var ErrFormat = errors.New("trace: bad format")

type (
	// Kind is what an event tells.
	Kind string

	// Duration is a time.Duration that is written as text, such as "1.25s".
	Duration time.Duration

	// Header is the first line of a trace.
	Header struct {
		// Name is that of the deployment.
		Name string `json:"name"`
		Seed uint64 `json:"seed"`
		// Bound is the multiple of the mean load that no engine may exceed.
		Bound float64 `json:"bound"`
		// Delay is the one-way time between two nodes.
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

	// Model is what a set of alike endpoints serves.
	Model struct {
		Name string `json:"name"`
		// Plain marks a service of plain requests, which caches nothing.
		Plain bool `json:"plain,omitempty"`
		// Step is the time of one batch step of an endpoint.
		Step Duration `json:"step"`
		// Cache is how many prefix tokens an endpoint can hold.
		Cache int `json:"cache,omitempty"`
		// Import is how many prefix tokens a second an endpoint takes over from
		// another; 0 where it cannot.
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
		// Rate is in tokens a second, fleet-wide.
		Rate float64 `json:"rate"`
		// Burst is in tokens.
		Burst    float64 `json:"burst"`
		Priority int     `json:"priority,omitempty"`
	}

	// Event is one line of a trace after the header.
	Event struct {
		At   Duration `json:"at"`
		Kind Kind     `json:"kind"`

		// Account, Chat and the sizes in tokens belong to an Ask. Prefix is the
		// part of the prompt that earlier turns of the chat already held, Input
		// the new part, Output the answer.
		Account string `json:"account,omitempty"`
		Chat    string `json:"chat,omitempty"`
		Model   string `json:"model,omitempty"`
		Prefix  int    `json:"prefix,omitempty"`
		Input   int    `json:"input,omitempty"`
		Output  int    `json:"output,omitempty"`
		// Once marks a request that must not be repeated.
		Once     bool     `json:"once,omitempty"`
		Priority int      `json:"priority,omitempty"`
		Deadline Duration `json:"deadline,omitzero"`

		// Endpoint names the endpoint that joins or leaves, Zone where.
		Endpoint string `json:"endpoint,omitempty"`
		Zone     string `json:"zone,omitempty"`
		// Instance names the node that joins or leaves, or what is killed.
		Instance string `json:"instance,omitempty"`
		// Revision belongs to an Accept.
		Revision uint64 `json:"revision,omitempty"`
	}

	// Trace is a whole trace.
	Trace struct {
		Header Header
		Events []Event
	}
)

// MarshalText writes a duration as time.Duration does.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads a duration.
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
