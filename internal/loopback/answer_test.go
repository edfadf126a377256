package loopback_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/endpoint"
	"bulrushhinge.example/bulrushhinge/internal/loopback"
	"bulrushhinge.example/bulrushhinge/internal/standin"
	"bulrushhinge.example/bulrushhinge/pkg/entry"
)

const (
	tokens = 8
	// parts is the events of a streamed answer: tokens, finish and end mark.
	parts = tokens + 2
	mark  = "crash me"

	stopTimeout = 20 * time.Second
)

// Outcomes of a request whose endpoint misbehaves.
const (
	whole outcome = iota + 1
	// cut is an answer that began and ended with an error.
	cut
	// unknown is a refusal that says so.
	unknown
)

type (
	outcome int

	answerCase struct {
		name   string
		faults standin.EndpointFaults
		// first limits the faults to the first answer.
		first  bool
		stream bool
		once   bool
		want   outcome
		runs   int
	}
)

// small is a deployment that is enough for one request.
func small() loopback.Config {
	const nodes, engines, workers = 2, 4, 3
	c := loopback.Thies()
	c.Nodes = c.Nodes[:nodes]
	c.Endpoints = append(c.Endpoints[:engines:engines], c.Endpoints[len(c.Endpoints)-workers:]...)
	return c
}

func chatBody(stream bool, text string) string {
	return fmt.Sprintf(`{"model":"notices","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, stream, tokens, text)
}

// content returns the text of an answer.
func content(t *testing.T, text string, stream bool) string {
	t.Helper()
	if !stream {
		var c struct {
			Choices []struct{ Message endpoint.Delta }
		}
		require.NoError(t, json.Unmarshal([]byte(text), &c), text)
		require.Len(t, c.Choices, 1)
		return c.Choices[0].Message.Content
	}
	var all strings.Builder
	for line := range strings.Lines(text) {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok || strings.TrimSpace(data) == endpoint.DoneMark {
			continue
		}
		var c endpoint.Chunk
		require.NoError(t, json.Unmarshal([]byte(data), &c), line)
		for _, choice := range c.Choices {
			all.WriteString(choice.Delta.Content)
		}
	}
	return all.String()
}

// requireWhole checks that a text is one endpoint's tokens, each once and in
// order.
func requireWhole(t *testing.T, text string) {
	t.Helper()
	name, _, _ := strings.Cut(text, " ")
	// The first token repeats what was asked.
	first, _, found := strings.Cut(text, "\": ")
	require.True(t, found && strings.HasPrefix(first, name+" on \""), text)
	var want strings.Builder
	want.WriteString(first + "\": ")
	for i := 1; i < tokens; i++ {
		fmt.Fprintf(&want, "%s-%d ", name, i)
	}
	require.Equal(t, want.String(), text)
}

// fault sets the faults at all endpoints.
func (c answerCase) fault(l engines) {
	if c.first {
		c.faults.Budget = &atomic.Int64{}
		c.faults.Budget.Store(1)
	}
	for _, e := range l {
		e.SetFaults(c.faults)
	}
}

func (c answerCase) test(t *testing.T) {
	config := small()
	f := start(t, config)
	body := chatBody(c.stream, c.name+" "+mark)
	engines := enginesOf(f, config)
	c.fault(engines)

	x := exchange{node: "n1", path: chatPath, body: body, repeatable: !c.once}
	if c.once {
		x.ticket = ticketOf(t, f, "n1", body)
	}
	x, err := x.do(f)
	switch c.want {
	case whole:
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, x.status, x.text)
		requireWhole(t, content(t, x.text, c.stream))
		if c.stream {
			require.True(t, strings.HasSuffix(x.text, "data: [DONE]\n\n"), x.text)
		}
	case cut:
		require.Error(t, err, "the connection breaks, so that no caller takes the answer for whole")
		require.NotContains(t, x.text, endpoint.DoneMark)
		require.Contains(t, x.text, `"type":"cut"`)
	case unknown:
		require.NoError(t, err)
		require.GreaterOrEqual(t, x.status, http.StatusInternalServerError, x.text)
		require.NotEqual(t, string(entry.RanNot), x.header.Get(entry.HeaderRan))
	}
	require.Equal(t, c.runs, engines.runs(body), "runs")
}

// Guards against this failure: a caller gets half an answer, a piece twice, another's piece, or
// an answer that looks whole and is not; or a request runs twice.
func TestAnswersThatBreak(t *testing.T) {
	var cases []answerCase
	for at := 1; at <= parts; at++ {
		cases = append(cases, answerCase{
			name: fmt.Sprintf("connection broken before part %d", at), faults: standin.EndpointFaults{Break: at},
			stream: true, once: at%2 == 0, want: whole, runs: 1,
		})
	}
	cases = append(cases,
		answerCase{name: "every part twice", faults: standin.EndpointFaults{Repeat: true}, stream: true, once: true, want: whole, runs: 1},
		answerCase{name: "a part missing", faults: standin.EndpointFaults{Skip: 3}, stream: true, once: true, want: whole, runs: 1},
		answerCase{name: "end mark missing", faults: standin.EndpointFaults{Skip: parts}, stream: true, once: true, want: whole, runs: 1},
		answerCase{name: "truncated", faults: standin.EndpointFaults{Truncate: 5}, stream: true, once: true, want: whole, runs: 1},
		answerCase{name: "crossed parts", faults: standin.EndpointFaults{Cross: "body"}, stream: true, once: true, want: whole, runs: 1},
		answerCase{name: "crossed answer", faults: standin.EndpointFaults{Cross: "head"}, first: true, stream: true, want: whole, runs: 2},
		answerCase{name: "crossed answer once", faults: standin.EndpointFaults{Cross: "head"}, stream: true, once: true, want: unknown, runs: 1},
		answerCase{name: "truncated and forgotten", faults: standin.EndpointFaults{Truncate: 5, Forget: true}, stream: true, want: cut, runs: 1},
		answerCase{name: "broken at once and forgotten", faults: standin.EndpointFaults{Break: 1, Forget: true}, first: true, stream: true, want: whole, runs: 2},
		answerCase{name: "broken at once and forgotten once", faults: standin.EndpointFaults{Break: 1, Forget: true}, stream: true, once: true, want: unknown, runs: 1},
		answerCase{name: "dies before it answers", faults: standin.EndpointFaults{Crash: mark}, first: true, stream: true, want: whole, runs: 2},
		answerCase{name: "dies before it answers once", faults: standin.EndpointFaults{Crash: mark}, stream: true, once: true, want: unknown, runs: 1},
		answerCase{name: "dies while it answers", faults: standin.EndpointFaults{Crash: mark, CrashAt: 4}, stream: true, want: cut, runs: 1},
		answerCase{name: "dies while it answers whole", faults: standin.EndpointFaults{Crash: mark, CrashAt: 4}, first: true, want: whole, runs: 2},
		answerCase{name: "dies while it answers whole once", faults: standin.EndpointFaults{Crash: mark, CrashAt: 4}, once: true, want: unknown, runs: 1},
		answerCase{name: "dies between the last token and the end mark", faults: standin.EndpointFaults{Crash: mark, CrashAt: tokens + 1}, stream: true, once: true, want: cut, runs: 1},
	)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			c.test(t)
		})
	}
}

// Guards against this failure: a plain answer is cut and looks whole.
func TestPlainAnswersOfWrongLength(t *testing.T) {
	for _, frame := range []string{"short", "unframed"} {
		t.Run(frame, func(t *testing.T) {
			t.Parallel()
			config := small()
			f := start(t, config)
			for _, e := range config.Endpoints {
				if e.Name != "p1" {
					f.Endpoint(e.Name).SetFaults(standin.EndpointFaults{Frame: frame})
				}
			}
			const path = "/v1/services/counter/balance"
			for i := range 4 {
				x := exchange{node: "n2", path: path, body: fmt.Sprint(i), repeatable: true}.must(t, f)
				require.Equal(t, http.StatusOK, x.status, x.text)
				require.Contains(t, x.text, `"endpoint":"p1"`)
			}
			f.Endpoint("p1").SetFaults(standin.EndpointFaults{Frame: frame})
			first := exchange{node: "n2", path: path, body: "once"}.must(t, f)
			x := exchange{node: "n2", path: path, body: "once", ticket: first.header.Get(entry.HeaderTicket)}.must(t, f)
			require.GreaterOrEqual(t, x.status, http.StatusInternalServerError)
			require.NotEqual(t, string(entry.RanNot), x.header.Get(entry.HeaderRan))
			require.Equal(t, 1, runs(f, config, "once"))
		})
	}
}

// Guards against this failure: engines work for callers who have left.
func TestCallerWhoHangsUpFreesTheEngine(t *testing.T) {
	config := small()
	for i := range config.Endpoints {
		// No engine stops by itself while the test runs.
		config.Endpoints[i].Engine.Linger = time.Hour
	}
	f := start(t, config)
	body := strings.Replace(chatBody(true, "long"), `"max_tokens":8`, `"max_tokens":1000000`, 1)
	ctx, cancel := context.WithCancel(t.Context())
	resp, err := exchange{node: "n1", path: chatPath, body: body, repeatable: true}.request(ctx, f)
	require.NoError(t, err)
	_, err = io.ReadFull(resp.Body, make([]byte, 64))
	require.NoError(t, err)
	require.Equal(t, 1, running(f, config))
	cancel()
	resp.Body.Close()
	require.Eventually(t, func() bool { return running(f, config) == 0 }, stopTimeout, time.Millisecond)
}

func running(f *loopback.Fleet, c loopback.Config) int {
	total := 0
	for _, e := range c.Endpoints {
		total += f.Endpoint(e.Name).Running()
	}
	return total
}
