// Package hint holds the small token by which a caller carries, from one turn
// of a chat to the next, where the chat's prefix is cached.
package hint

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

const (
	version  = "h1"
	parts    = 4
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
	// At is when it did, to the second.
	At time.Time
}

// String returns the form that callers carry.
func (h Hint) String() string {
	if h.Endpoint == "" {
		return ""
	}
	return fmt.Sprintf("%s:%d:%d:%s", version, h.Tokens, h.At.Unix(), h.Endpoint)
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
	if len(f) != parts || f[0] != version || f[3] == "" {
		return Hint{}, ErrFormat
	}
	n, err := strconv.Atoi(f[1])
	if err != nil || n < 0 {
		return Hint{}, fmt.Errorf("%w: tokens %q", ErrFormat, f[1])
	}
	at, err := strconv.ParseInt(f[2], 10, 64)
	if err != nil {
		return Hint{}, fmt.Errorf("%w: time %q", ErrFormat, f[2])
	}
	return Hint{Endpoint: f[3], Tokens: n, At: time.Unix(at, 0)}, nil
}
