package http1_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/http1"
)

func ExampleRetryAfter() {
	fmt.Println(http1.RetryAfter([]string{"0.25"}))
	// Output: 250ms
}

// Guards against a time that is parsed from a value other than a number of seconds.
func TestRetryAfter(t *testing.T) {
	cases := map[string]time.Duration{
		"3": 3 * time.Second, " 0.25 ": 250 * time.Millisecond, ".5": 500 * time.Millisecond,
		"99999999999999999999": 24 * time.Hour,
		"":                     0, "0": 0, "-3": 0, "NaN": 0, "Inf": 0, "1e9": 0, "0x10": 0, "1.2.3": 0, ".": 0, "soon": 0,
		"Wed, 21 Oct 2015 07:28:00 GMT": 0,
	}
	for text, want := range cases {
		require.Equal(t, want, http1.RetryAfter([]string{text}), text)
	}
	require.Equal(t, 2*time.Second, http1.RetryAfter([]string{"1", "2", "soon"}))
	require.Zero(t, http1.RetryAfter(nil))
}
