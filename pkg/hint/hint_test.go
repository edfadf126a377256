package hint_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/pkg/hint"
)

func ExampleParse() {
	text := hint.Hint{Endpoint: "w1", Tokens: 512, At: time.Unix(60, 0)}.String()
	parsed, err := hint.Parse(text)
	fmt.Println(parsed.Endpoint, parsed.Tokens, parsed.At.Unix(), err)
	// Output: w1 512 60 <nil>
}

// Guards against input that makes Parse panic, or a hint that changes when it is formatted
// and parsed again.
func FuzzParse(f *testing.F) {
	f.Add(hint.Hint{Endpoint: "w1", Tokens: 512, At: time.Unix(60, 0)}.String())
	f.Add("")
	f.Add("h1:1:w1")
	f.Add("h2:-1:99999999999999999999:")
	f.Add(strings.Repeat(":", 300))
	f.Fuzz(func(t *testing.T, s string) {
		parsed, err := hint.Parse(s)
		if err != nil {
			require.ErrorIs(t, err, hint.ErrFormat)
			return
		}
		require.GreaterOrEqual(t, parsed.Tokens, 0)
		again, err := hint.Parse(parsed.String())
		require.NoError(t, err)
		require.Equal(t, parsed.Endpoint, again.Endpoint)
		require.Equal(t, parsed.Tokens, again.Tokens)
		if parsed.Endpoint != "" {
			require.True(t, parsed.At.Equal(again.At))
		}
	})
}
