// Package hint holds the small token by which a caller carries, from one turn
// of a chat to the next, where the chat's prefix is cached.
package hint

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

const (
	version  = "h1"
	parts    = 3
	maxBytes = 256
)

// ErrFormat is returned where a hint cannot be read.
var ErrFormat = errors.New("hint: bad format")

// Hint is where a chat's prefix is cached. It is advice: a wrong one costs
// time, never an answer.
type Hint struct {
	// Endpoint holds the prefix.
	Endpoint string
	// Tokens is how much of the chat it holds.
	Tokens int
}

// String returns the form that callers carry.
func (h Hint) String() string {
	if h.Endpoint == "" {
		return ""
	}
	return version + ":" + strconv.Itoa(h.Tokens) + ":" + h.Endpoint
}

// Parse reads a hint. The empty string is the zero Hint.
func Parse(s string) (Hint, error) {
	if s == "" {
		return Hint{}, nil
	}
	if len(s) > maxBytes {
		return Hint{}, fmt.Errorf("%w: %d bytes", ErrFormat, len(s))
	}
	f := strings.SplitN(s, ":", parts)
	if len(f) != parts || f[0] != version || f[2] == "" {
		return Hint{}, ErrFormat
	}
	n, err := strconv.Atoi(f[1])
	if err != nil || n < 0 {
		return Hint{}, fmt.Errorf("%w: tokens %q", ErrFormat, f[1])
	}
	return Hint{Endpoint: f[2], Tokens: n}, nil
}
