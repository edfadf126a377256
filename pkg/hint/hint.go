// Package hint implements the token that tells where a chat's prefix is cached.
// The caller sends it from one turn of the chat to the next.
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

// ErrFormat is returned for a malformed hint.
var ErrFormat = errors.New("hint: bad format")

// Hint tells where a chat's prefix is cached. It is only advice: a wrong hint
// costs time, but the request is still answered.
type Hint struct {
	// Endpoint is the name of the endpoint that has the prefix.
	Endpoint string
	// Tokens is the length of the cached prefix, in tokens.
	Tokens int
	// At is the time at which the prefix was cached, to the second.
	At time.Time
}

// String returns the text form of the hint.
func (h Hint) String() string {
	if h.Endpoint == "" {
		return ""
	}
	return fmt.Sprintf("%s:%d:%d:%s", version, h.Tokens, h.At.Unix(), h.Endpoint)
}

// Parse parses a hint. The empty string is the zero Hint.
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
