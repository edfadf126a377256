package http1

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// retryDigits are the characters of a time in seconds.
	retryDigits = "0123456789."
	// longestRetry bounds the time that is believed.
	longestRetry = 24 * time.Hour
)

// Refuses reports whether a status says that the other side has too much to do, so
// that its Retry-After is a wish to get nothing for that time.
func Refuses(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// RetryAfter reads the values of a Retry-After header as seconds, which may have a
// fraction, and returns the longest. A date, or what is no plain number, counts as 0.
func RetryAfter(values []string) time.Duration {
	longest := time.Duration(0)
	for _, v := range values {
		longest = max(longest, seconds(strings.TrimSpace(v)))
	}
	return longest
}

func seconds(text string) time.Duration {
	if strings.Trim(text, retryDigits) != "" {
		return 0
	}
	s, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return time.Duration(min(s, longestRetry.Seconds()) * float64(time.Second))
}
