// Package handover hands requests over to other nodes.
//
// A node that does not reach a service offers its callers' requests to one that does.
// Nothing is run before the offer was accepted and the whole body was sent, so that
// until then the request may go elsewhere, whatever its kind. The response comes back
// as it arrives. What was handed over is never handed over again.
package handover

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

const (
	// handRPC is the only call.
	handRPC = "/bulrushhinge.Handover/Hand"
	// partBytes is the size of the parts in which requests' bodies are sent, and from
	// which on those of responses are.
	partBytes = 32 << 10
	// maxStatus is the largest number that an http.ResponseWriter takes as a status.
	maxStatus = 999
)

var (
	// ErrMessage is returned for a message that does not fit the call.
	ErrMessage = errors.New("handover: bad message")
	// ErrNotTaken is returned if the other node has not taken the request, and so
	// never runs it.
	ErrNotTaken = errors.New("handover: not taken")
	// ErrDeclined is returned if it has answered so; the error says why.
	ErrDeclined = fmt.Errorf("%w: declined", ErrNotTaken)
	// ErrBroken is returned if the call broke after the request was sent: it may run.
	ErrBroken = errors.New("handover: broken")
)

type (
	// Offer is a caller's request without its body.
	Offer struct {
		// From is the name of the node that offers it.
		From   string      `cbor:"1,keyasint"`
		Method string      `cbor:"2,keyasint"`
		URI    string      `cbor:"3,keyasint"`
		Host   string      `cbor:"4,keyasint"`
		Header http.Header `cbor:"5,keyasint"`
		// Size is the number of bytes of the body.
		Size int64 `cbor:"6,keyasint"`
		// Service is the service that the request goes to.
		Service string `cbor:"7,keyasint"`
		// Version is that of the configuration in force at the sender.
		Version uint64 `cbor:"8,keyasint"`
		// Age is how long ago the request arrived.
		Age      time.Duration `cbor:"9,keyasint"`
		Progress Progress      `cbor:"10,keyasint"`
		// Left is the time until the request's deadline. Kind and Attempts are its route's
		// by the configuration in force at the sender.
		Left     time.Duration   `cbor:"11,keyasint"`
		Kind     deployment.Kind `cbor:"12,keyasint"`
		Attempts int             `cbor:"13,keyasint"`
	}

	// Progress is what became of the request before.
	Progress struct {
		// Tried are the endpoints that were tried, Sends how many received the
		// request, and Runs how many of these may have run it.
		Tried []deployment.Start `cbor:"1,keyasint,omitempty"`
		Sends int                `cbor:"2,keyasint,omitempty"`
		Runs  int                `cbor:"3,keyasint,omitempty"`
		// LastEvent is the ID of the newest event that the caller has, and Events how
		// many events it has got. Started says that its response has begun.
		LastEvent uint64 `cbor:"4,keyasint,omitempty"`
		Events    int    `cbor:"5,keyasint,omitempty"`
		Started   bool   `cbor:"6,keyasint,omitempty"`
		// Counted says that the sender has counted the request in the retry budget
		// and for its account, Excess that it is the account's excess.
		Counted bool `cbor:"7,keyasint,omitempty"`
		Excess  bool `cbor:"8,keyasint,omitempty"`
		// Last is how the last attempt ended.
		Last string `cbor:"9,keyasint,omitempty"`
	}

	// Refusal is the response of a node that ends the request itself.
	Refusal struct {
		Status     int           `cbor:"1,keyasint"`
		Reason     string        `cbor:"2,keyasint"`
		RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
		// Sends, Runs and Last are those of Progress, at the end, and Cause is why the
		// request ends.
		Sends int    `cbor:"4,keyasint,omitempty"`
		Runs  int    `cbor:"5,keyasint,omitempty"`
		Cause string `cbor:"6,keyasint,omitempty"`
		Last  string `cbor:"7,keyasint,omitempty"`
	}

	// Frame is a part of the response.
	Frame struct {
		// Status and Header are set in the first frame of a response.
		Status int         `cbor:"1,keyasint,omitempty"`
		Header http.Header `cbor:"2,keyasint,omitempty"`
		Data   []byte      `cbor:"3,keyasint,omitempty"`
		// LastEvent and Events are those of Progress, after Data.
		LastEvent uint64 `cbor:"4,keyasint,omitempty"`
		Events    int    `cbor:"5,keyasint,omitempty"`
		// Refusal ends the request without a response, or within one.
		Refusal *Refusal `cbor:"6,keyasint,omitempty"`
		// End says that the response is complete.
		End bool `cbor:"7,keyasint,omitempty"`
	}

	// answer says why an offer is not taken; it is empty if it is.
	answer struct {
		Reason string `cbor:"1,keyasint,omitempty"`
	}

	// part is a part of the request's body.
	part struct {
		Data []byte `cbor:"1,keyasint,omitempty"`
		Last bool   `cbor:"2,keyasint,omitempty"`
	}
)

// isStatus reports whether a number is a valid status of a response. An
// http.ResponseWriter panics on most others.
func isStatus(n int) bool { return n >= http.StatusOK && n <= maxStatus }
