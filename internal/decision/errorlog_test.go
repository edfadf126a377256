package decision_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/decision"
)

// linesOf returns the lines of a closed log's output.
func linesOf(t *testing.T, text []byte) []map[string]any {
	var list []map[string]any
	for line := range bytes.Lines(text) {
		fields := map[string]any{}
		require.NoError(t, json.Unmarshal(line, &fields))
		list = append(list, fields)
	}
	return list
}

// Guards against a handler that panics and leaves no line, as its server's error log is
// discarded.
func TestErrorsOfServersAreLogged(t *testing.T) {
	var (
		out     bytes.Buffer
		counted atomic.Int64
	)
	l := decision.New(decision.LogConfig{To: &out, Node: "n1"})
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("a fault") }))
	s.Config.ErrorLog = decision.NewErrorLog(decision.ErrorLogConfig{Log: l, Server: "directory", Count: func() { counted.Add(1) }})
	s.Start()
	_, err := s.Client().Get(s.URL)
	require.ErrorIs(t, err, io.EOF)
	s.Close()
	l.Close()
	list := linesOf(t, out.Bytes())
	require.Len(t, list, 1)
	require.Equal(t, "http.error", list[0]["event"])
	require.Equal(t, "directory", list[0]["server"])
	require.Contains(t, list[0]["error"], "a fault")
	require.Equal(t, int64(1), counted.Load())
}

// Guards against a caller that fills the log with a server's errors, and so displaces the
// lines of requests.
func TestErrorsOfServersAreBounded(t *testing.T) {
	var (
		out   bytes.Buffer
		count int
	)
	l := decision.New(decision.LogConfig{To: &out, Node: "n1"})
	logger := decision.NewErrorLog(decision.ErrorLogConfig{Log: l, Server: "callers", Count: func() { count++ }})
	for range 500 {
		logger.Print(strings.Repeat("x", 100_000))
	}
	l.Event("attempt", decision.Fields{"request": "q"})
	l.Close()
	list := linesOf(t, out.Bytes())
	require.Equal(t, 500, count)
	require.Less(t, len(list), 100)
	require.Less(t, out.Len(), 300_000)
	require.Equal(t, "attempt", list[len(list)-1]["event"])
}

// A limited log counts what it leaves out, also without a log.
func TestLimitedCountsWhatItSkips(t *testing.T) {
	var out bytes.Buffer
	l := decision.New(decision.LogConfig{To: &out, Node: "n1"})
	limited := decision.NewLimited(l, time.Millisecond, 1)
	limited.Event("first", decision.Fields{})
	limited.Event("second", decision.Fields{})
	time.Sleep(5 * time.Millisecond)
	limited.Event("third", decision.Fields{})
	l.Close()
	list := linesOf(t, out.Bytes())
	last := list[len(list)-1]
	require.Equal(t, "third", last["event"])
	if len(list) == 2 {
		require.Equal(t, 1., last["skipped"])
	}
	decision.NewLimited(nil, time.Hour, 1).Event("nowhere", decision.Fields{})
}
