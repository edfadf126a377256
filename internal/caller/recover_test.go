package caller_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/caller"
	"bulrushhinge.example/bulrushhinge/internal/endpoint"
	"bulrushhinge.example/bulrushhinge/pkg/entry"
)

const panicText = "panic of the test"

// panickingReader is a reader that panics.
type panickingReader struct{ value any }

func (r panickingReader) Read([]byte) (int, error) { panic(r.value) }

func panicsTotal() uint64 { return metrics.GetOrCreateCounter("bulrushhinge_panics_total").Get() }

// linesWith returns the log lines that have a field.
func linesWith(hook *logtest.Hook, field string) []logrus.Fields {
	var list []logrus.Fields
	for _, e := range hook.AllEntries() {
		if _, ok := e.Data[field]; ok {
			list = append(list, e.Data)
		}
	}
	return list
}

// Guards against a panic that closes a caller's connection without an answer or a log line,
// or ends the process.
func TestPanicIsAnsweredAndLogged(t *testing.T) {
	inBody := func(prefix string, value any) func(call endpoint.Call) *endpoint.Answer {
		return func(call endpoint.Call) *endpoint.Answer {
			a := streamed("")
			text := strings.ReplaceAll(prefix, "ID", call.Attempt)
			a.Body = newBody(io.MultiReader(strings.NewReader(text), panickingReader{value}))
			return a
		}
	}
	event := events("ID")
	tests := map[string]struct {
		path    string
		once    bool
		started bool
		quiet   bool
		answer  func(call endpoint.Call) *endpoint.Answer
	}{
		"before the answer":        {path: entry.PathChat, answer: func(endpoint.Call) *endpoint.Answer { panic(panicText) }},
		"plain service":            {path: plainPath, answer: inBody("half", panicText)},
		"within a stream":          {path: entry.PathChat, started: true, answer: inBody(event, panicText)},
		"before the answer, once":  {path: entry.PathChat, once: true, answer: func(endpoint.Call) *endpoint.Answer { panic(panicText) }},
		"within a stream, once":    {path: entry.PathChat, once: true, started: true, answer: inBody(event, panicText)},
		"aborted within a stream":  {path: entry.PathChat, started: true, quiet: true, answer: inBody(event, http.ErrAbortHandler)},
		"aborted before an answer": {path: plainPath, started: true, quiet: true, answer: inBody("", http.ErrAbortHandler)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			log, hook := logtest.NewNullLogger()
			e := &endpoints{answer: func(_ context.Context, call endpoint.Call) (*endpoint.Answer, error) { return test.answer(call), nil }}
			s, h := serve(t, e, caller.Config{Log: log})
			headers := []string{}
			if test.once {
				resp, _, err := do(t, request(t, "POST", s.URL+test.path, chatBody, entry.HeaderOnce, "true"))
				require.NoError(t, err)
				headers = []string{entry.HeaderOnce, "true", entry.HeaderTicket, resp.Header.Get(entry.HeaderTicket)}
			}
			before := panicsTotal()
			resp, err := http.DefaultClient.Do(request(t, "POST", s.URL+test.path, chatBody, headers...))
			if err == nil {
				defer resp.Body.Close()
				var data []byte
				data, err = io.ReadAll(resp.Body)
				if !test.started {
					require.Equal(t, http.StatusInternalServerError, resp.StatusCode, string(data))
					require.Contains(t, string(data), `"type":"internal"`)
					require.Contains(t, string(data), `"ran":"unknown"`)
				}
			}
			require.Equal(t, test.started, err != nil, "an answer that has started must break its connection: %v", err)
			require.NoError(t, h.Wait(t.Context()))
			lines := linesWith(hook, "stack")
			if test.quiet {
				require.Empty(t, lines)
				require.Equal(t, before, panicsTotal())
				return
			}
			require.Equal(t, before+1, panicsTotal())
			require.Len(t, lines, 1)
			require.Equal(t, panicText, lines[0]["panic"])
			require.Equal(t, resp.Header.Get(entry.HeaderRequest), lines[0]["request"])
			require.NotEmpty(t, lines[0]["request"])
			require.Contains(t, lines[0]["stack"], "recover_test.go")
		})
	}
}
