package main_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestZonesOfNodes guards against a table that omits nodes whose views of an
// evacuation differ, or all nodes if one does not answer.
func TestZonesOfNodes(t *testing.T) {
	states := []string{
		`{"node":"n1","epoch":3,"revision":9,"evacuated":{"z1":{"epoch":2,"revision":7,"since":"2020-01-01T00:00:00Z","source":"store"}}}`,
		`{"node":"n2","revision":6,"evacuated":{}}`,
	}
	var addrs []string
	for _, state := range states {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(state)) }))
		defer s.Close()
		addrs = append(addrs, s.Listener.Addr().String())
	}
	code, out, _ := run(t, nil, append([]string{"zones"}, addrs...)...)
	require.Zero(t, code)
	require.Regexp(t, `z1 .* n1 .* 2/7 .* store .* 3/9`, out)
	require.Regexp(t, `none .* n2 .* 0/6`, out)

	code, out, errs := run(t, nil, "zones", "127.0.0.1:1", addrs[0])
	require.NotZero(t, code)
	require.Contains(t, errs, "did not answer")
	require.True(t, strings.Contains(out, "n1"))
}
