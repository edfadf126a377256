package account_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/account"
)

// at returns a line's time, in milliseconds from the start.
func at(ms int) string {
	return time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC).Add(time.Duration(ms) * time.Millisecond).Format("2006-01-02T15:04:05.000Z07:00")
}

func attempt(when int, request, result string, more string) string {
	return fmt.Sprintf(`{"time":%q,"event":"attempt","request":%q,"route":"r","print":"p-%s","due_ms":200,"result":%q,%s}`, at(when), request, request, result, more)
}

func refused(when int, request, reason string, status int, more string) string {
	return fmt.Sprintf(`{"time":%q,"event":"refused","request":%q,"route":"r","print":"p-%s","due_ms":200,"reason":%q,"status":%d%s}`, at(when), request, request, reason, status, more)
}

func TestOutcomes(t *testing.T) {
	cases := []struct {
		name    string
		log     []string
		outcome account.Outcome
		reason  string
	}{
		{name: "in time", log: []string{attempt(300, "a", "answered", `"status":200,"age_ms":300,"took_ms":290,"first_ms":100`)}, outcome: account.InTime},
		{name: "late, waited for a slot", log: []string{attempt(500, "a", "answered", `"status":200,"age_ms":500,"took_ms":200,"first_ms":100`)}, outcome: account.Late, reason: "waited for a place"},
		{
			name: "late, earlier attempt",
			log: []string{
				attempt(250, "a", "broken", `"age_ms":250,"took_ms":250`), attempt(500, "a", "answered", `"status":200,"age_ms":500,"took_ms":240,"first_ms":20`),
			},
			outcome: account.Late, reason: "an attempt before",
		},
		{name: "late, prefill", log: []string{attempt(500, "a", "answered", `"status":200,"age_ms":500,"took_ms":500,"first_ms":400,"reading_ms":350`)}, outcome: account.Late, reason: "the engine read"},
		{name: "late, busy engine", log: []string{attempt(500, "a", "answered", `"status":200,"age_ms":500,"took_ms":500,"first_ms":400,"reading_ms":50`)}, outcome: account.Late, reason: "the engine was busy"},
		{name: "the endpoint's failure", log: []string{attempt(50, "a", "answered", `"status":500,"age_ms":50,"took_ms":50,"first_ms":50`)}, outcome: account.Unserved, reason: "the endpoint failed it"},
		{name: "cut", log: []string{attempt(50, "a", "broken", `"status":200,"age_ms":50,"took_ms":50`), refused(50, "a", "endpoint-broke-off", 502, `,"cut":true`)}, outcome: account.Unserved, reason: "the endpoint broke off"},
		{name: "the node ended", log: []string{attempt(50, "a", "not-sent", `"age_ms":50,"took_ms":50`)}, outcome: account.Unserved, reason: "the node ended"},
		{name: "no free slot", log: []string{refused(50, "a", "endpoints-full", 503, "")}, outcome: account.Unserved, reason: "endpoints-full"},
		{name: "an unknown key", log: []string{refused(50, "a", "unknown-key", 401, "")}, outcome: account.Invalid, reason: "unknown-key"},
		{name: "a caller that left", log: []string{attempt(50, "a", "caller-gone", `"age_ms":50,"took_ms":50`)}, outcome: account.CallerLeft},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			report, err := account.Read(strings.NewReader("n1 no JSON\n  0.1 n1 " + strings.Join(c.log, "\n")))
			require.NoError(t, err)
			require.Len(t, report.Entries, 1)
			require.Equal(t, c.outcome, report.Entries[0].Outcome)
			require.Equal(t, c.reason, report.Entries[0].Reason)
		})
	}
}

// A caller's retry of the same request is part of the same call, on any node.
func TestRetriesAreOneCall(t *testing.T) {
	log := refused(10, "a", "endpoints-full", 503, `,"age_ms":5`) + "\n" +
		strings.Replace(attempt(400, "b", "answered", `"status":200,"age_ms":50,"took_ms":50,"first_ms":20`), "p-b", "p-a", 1)
	report, err := account.Read(strings.NewReader(log))
	require.NoError(t, err)
	require.Len(t, report.Entries, 1)
	require.Equal(t, account.Late, report.Entries[0].Outcome)
	require.Equal(t, "came back after a refusal", report.Entries[0].Reason)

	var out strings.Builder
	require.NoError(t, report.Table(&out, 0.7))
	require.Contains(t, out.String(), "0.7000")
	chart := filepath.Join(t.TempDir(), "chart.svg")
	require.NoError(t, report.Chart(chart))
	info, err := os.Stat(chart)
	require.NoError(t, err)
	require.NotZero(t, info.Size())
}

func TestLogWithoutRequestsIsAnError(t *testing.T) {
	_, err := account.Read(strings.NewReader(`{"event":"start"}`))
	require.ErrorIs(t, err, account.ErrLog)
}
