package http1

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// secondsChars are the characters of a time in seconds.
	secondsChars = "0123456789."
	// maxRetryAfter is the longest time that is accepted; a longer one is cut to it.
	maxRetryAfter = 24 * time.Hour
)

// IsOverload reports whether a status says that the server is overloaded, so that its
// Retry-After asks for a backoff of that time.
func IsOverload(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// RetryAfter parses the values of a Retry-After header as seconds, which may have a
// fraction, and returns the longest. A date, or anything but a plain number, counts
// as 0.
func RetryAfter(values []string) time.Duration {
	longest := time.Duration(0)
	for _, v := range values {
		longest = max(longest, parseSeconds(strings.TrimSpace(v)))
	}
	return longest
}

func parseSeconds(text string) time.Duration {
	if strings.Trim(text, secondsChars) != "" {
		return 0
	}
	s, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return time.Duration(min(s, maxRetryAfter.Seconds()) * float64(time.Second))
}
