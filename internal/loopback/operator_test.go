package loopback_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/loopback"
)

func operate(t *testing.T, f *loopback.Fleet, node, path string) string {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, fmt.Sprintf("http://%v%s", f.Operator(node), path), nil)
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+loopback.Token)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode, string(data))
	return string(data)
}

func TestOperatorsSeeWhatHappened(t *testing.T) {
	f := start(t, loopback.Thies())
	body := `{"model":"notices","messages":[{"role":"user","content":"why here"}]}`
	resp, text := post(t, f.Caller("n1"), "/v1/chat/completions", "a1", body)
	require.Equal(t, http.StatusOK, resp.StatusCode, text)
	trace := operate(t, f, "n1", "/requests/"+resp.Header.Get("X-Request-Id"))
	require.Contains(t, trace, `"outcome": "granted"`)
	require.Contains(t, trace, `"step": "run"`)
	resp, _ = post(t, f.Caller("n1"), "/v1/chat/completions", "nobody", body)
	require.Equal(t, http.StatusUnauthorized, resp.StatusCode)
	metrics := operate(t, f, "n1", "/metrics")
	for _, want := range []string{
		`bulrushhinge_requests_total{outcome="answered"} 1`,
		`bulrushhinge_refusals_total{reason="unauthorized",ran="not_run"} 1`,
		`bulrushhinge_revision 1`, `bulrushhinge_nodes{state="live"}`,
		`bulrushhinge_permits_total{outcome="granted"} 1`, `bulrushhinge_platform_reads_total{key="accepted",result="ok"}`,
		`bulrushhinge_heartbeats_total{result="ok"}`,
	} {
		require.Contains(t, metrics, want)
	}
	require.Contains(t, operate(t, f, "n2", "/metrics"), `bulrushhinge_revision 1`)
	require.NotContains(t, operate(t, f, "n2", "/metrics"), `outcome="answered"`, "each node counts for itself")
	state := operate(t, f, "n1", "/state")
	require.Contains(t, state, `"platform"`)
	require.NotContains(t, state, "accounts")
	require.Contains(t, operate(t, f, "n1", "/revision"), `"verdict": "accept"`)
}

// TestMetricsPage fails where a metric of a running node is missing on the
// operators' page.
func TestMetricsPage(t *testing.T) {
	f := start(t, loopback.Thies())
	page, err := os.ReadFile("../../docs/operators/metrics.md")
	require.NoError(t, err)
	names := regexp.MustCompile(`(?m)^(bulrushhinge_[a-z_]+?)(_bucket|_sum|_count)?(\{| )`)
	for _, match := range names.FindAllStringSubmatch(operate(t, f, "n1", "/metrics"), -1) {
		require.Contains(t, string(page), "`"+match[1]+"`")
	}
}

// TestStatePage fails where a part of the dump is missing on the operators'
// page.
func TestStatePage(t *testing.T) {
	f := start(t, loopback.Thies())
	page, err := os.ReadFile("../../docs/operators/state.md")
	require.NoError(t, err)
	var parts map[string]json.RawMessage
	require.NoError(t, json.Unmarshal([]byte(operate(t, f, "n1", "/state")), &parts))
	for part := range parts {
		require.Contains(t, string(page), fmt.Sprintf("\n| `%s` |", part))
	}
}
