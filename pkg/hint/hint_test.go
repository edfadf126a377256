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
	carried := hint.Hint{Endpoint: "w1", Tokens: 512, At: time.Unix(60, 0)}.String()
	read, err := hint.Parse(carried)
	fmt.Println(read.Endpoint, read.Tokens, read.At.Unix(), err)
	// Output: w1 512 60 <nil>
}

func FuzzParse(f *testing.F) {
	f.Add(hint.Hint{Endpoint: "w1", Tokens: 512, At: time.Unix(60, 0)}.String())
	f.Add("")
	f.Add("h1:1:w1")
	f.Add("h2:-1:99999999999999999999:")
	f.Add(strings.Repeat(":", 300))
	f.Fuzz(func(t *testing.T, s string) {
		read, err := hint.Parse(s)
		if err != nil {
			require.ErrorIs(t, err, hint.ErrFormat)
			return
		}
		require.GreaterOrEqual(t, read.Tokens, 0)
		again, err := hint.Parse(read.String())
		require.NoError(t, err)
		require.Equal(t, read.Endpoint, again.Endpoint)
		require.Equal(t, read.Tokens, again.Tokens)
		if read.Endpoint != "" {
			require.True(t, read.At.Equal(again.At))
		}
	})
}
