package operator_test

import (
	"bytes"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/caller"
	"bulrushhinge.example/bulrushhinge/internal/dispatch"
	"bulrushhinge.example/bulrushhinge/internal/route"
	"bulrushhinge.example/bulrushhinge/pkg/entry"
)

// TestMetricsPage guards against an operators' page that lacks a metric or
// lists one that does not exist.
func TestMetricsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/metrics.md")
	require.NoError(t, err)
	m := newMetrics(view())
	m.PlatformRead("accepted", errors.New("down"))
	m.Beat(nil)
	m.Fetch(nil)
	m.Record(dispatch.Record{Step: route.Step{Kind: route.StepPermit}})
	m.Record(dispatch.Record{Outcome: route.OutcomeDenied})
	m.Record(dispatch.Record{Outcome: route.OutcomeLost})
	for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		m.Observe(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(caller.HeaderRan, string(entry.RanNot))
			w.WriteHeader(status)
			_, _ = w.Write([]byte(`{"error":{"type":"busy","ran":"not_run"}}`))
		})).ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, entry.PathChat, nil))
	}
	var text bytes.Buffer
	m.Write(&text)
	written := map[string]bool{}
	for _, match := range regexp.MustCompile(`(?m)^(bulrushhinge_[a-z_]+?)(_bucket|_sum|_count)?(\{| )`).FindAllStringSubmatch(text.String(), -1) {
		written[match[1]] = true
	}
	listed := map[string]bool{}
	for _, match := range regexp.MustCompile("(?m)^\\| `(bulrushhinge_[a-z_]+)` \\|").FindAllSubmatch(page, -1) {
		listed[string(match[1])] = true
	}
	require.Equal(t, written, listed)
}
