package experiment_test

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/experiment"
)

const planText = `
nodes = 2
length = "3s"
rate = 60.0
accounts = 3
skew = 1.0
seed = 7
[[service]]
name = "plain"
endpoints = 2
slots = 6
queue = 24
work = "5ms"
[[service]]
name = "engine"
endpoints = 2
slots = 16
work = "5ms"
events = 4
[[request]]
name = "lookup"
service = "plain"
kind = "idempotent"
share = 1.0
objective = "300ms"
timeout = "5s"
[[request]]
name = "chat"
service = "engine"
kind = "resumable"
share = 1.0
objective = "300ms"
timeout = "5s"
[[fault]]
kind = "kill"
at = "1s"
for = "300ms"
count = 1
`

func TestParseInvalidPlans(t *testing.T) {
	cases := []struct {
		name    string
		old     string
		new     string
		wantErr string
	}{
		{name: "no TOML", old: "nodes = 2", new: "nodes = ", wantErr: "expected value"},
		{name: "an unknown field", old: "nodes = 2", new: "nodes = 2\nnoodles = 3", wantErr: "unknown field noodles"},
		{name: "no nodes", old: "nodes = 2", new: "nodes = 0", wantErr: "must be positive"},
		{name: "a length without unit", old: `"3s"`, new: `"3"`, wantErr: "invalid duration"},
		{name: "a service without slots", old: "slots = 6", new: "slots = 0", wantErr: `service "plain"`},
		{name: "an unknown service", old: `service = "plain"`, new: `service = "none"`, wantErr: `unknown service "none"`},
		{name: "an unknown kind of request", old: `"idempotent"`, new: `"twice"`, wantErr: `unknown kind "twice"`},
		{name: "a stream without events", old: "events = 4", new: "", wantErr: "do not agree on whether to stream events"},
		{name: "an unknown fault", old: `"kill"`, new: `"flood"`, wantErr: `unknown fault kind "flood"`},
		{name: "a fault without a count", old: "count = 1", new: "", wantErr: "needs a count"},
		{name: "a shift of an unknown request", old: "[[fault]]", new: "[[shift]]\nat = \"1s\"\n[shift.share]\nnone = 1.0\n[[fault]]", wantErr: `request "none"`},
		{name: "shifts out of order", old: "[[fault]]", new: "[[shift]]\nat = \"2s\"\n[[shift]]\nat = \"1s\"\n[[fault]]", wantErr: "in order of time"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Contains(t, planText, c.old)
			_, err := experiment.Parse(strings.Replace(planText, c.old, c.new, 1))
			require.ErrorIs(t, err, experiment.ErrPlan)
			require.ErrorContains(t, err, c.wantErr)
		})
	}
}

func TestParseRepositoryPlans(t *testing.T) {
	paths, err := filepath.Glob("../../deploy/experiments/*.toml")
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	for _, path := range paths {
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		_, err = experiment.Parse(string(text))
		require.NoError(t, err, path)
	}
}

// TestRun runs real processes and kills one of them. It guards against requests that
// are counted twice or not at all, by kind, size or account, and against a fleet that serves at most half of
// them.
func TestRun(t *testing.T) {
	program := filepath.Join(t.TempDir(), "bulrushhinge")
	out, err := exec.Command("go", "build", "-o", program, "bulrushhinge.example/bulrushhinge/cmd/bulrushhinge").CombinedOutput()
	require.NoError(t, err, string(out))
	plan, err := experiment.Parse(planText + scarceText)
	require.NoError(t, err)
	r, err := experiment.Run(context.Background(), experiment.Config{Plan: plan, Program: program, Folder: t.TempDir()})
	require.NoError(t, err)
	require.Len(t, r.Requests, 3)
	asked, served := 0, 0
	for _, c := range r.Requests {
		require.Equal(t, c.Asked, c.Timely+c.Late+c.Refused+c.Failed, c.Name)
		asked += c.Asked
		served += c.Timely + c.Late
	}
	require.Greater(t, asked, 60)
	require.Greater(t, served, asked/2)
	require.Len(t, r.Seconds, 3)
	require.NotEmpty(t, r.Loads)
	requireSums(t, r)

	var table bytes.Buffer
	require.NoError(t, experiment.Table(&table, plan, []string{"before", "after"}, []*experiment.Result{r, r}))
	for _, name := range []string{"chat", "quote large", "account1", "other accounts"} {
		require.Equal(t, 2, strings.Count(table.String(), name), name)
	}
	folder := t.TempDir()
	require.NoError(t, experiment.Charts(folder, []string{"before"}, []*experiment.Result{r}))
	for _, name := range []string{"latency.svg", "timely.svg", "load.svg"} {
		data, err := os.ReadFile(filepath.Join(folder, name))
		require.NoError(t, err)
		require.Contains(t, string(data), "<svg")
	}
}

func TestSkew(t *testing.T) {
	r := &experiment.Result{Loads: []experiment.Load{
		{Service: "s", At: 1 * time.Second, Most: 3, Mean: 2},
		{Service: "s", At: 2 * time.Second, Most: 1, Mean: 0.1},
		{Service: "other", At: 2 * time.Second, Most: 9, Mean: 1},
	}}
	require.InDelta(t, 1.5, r.Skew("s"), 0.001)
	require.Zero(t, r.Skew("none"))
}

// TestShifts guards against a shift that resets what it does not name: an unnamed rate
// or share stays as before.
func TestShifts(t *testing.T) {
	p, err := experiment.Parse(planText + `
[[shift]]
at = "1s"
rate = 90.0
[[shift]]
at = "2s"
[shift.share]
chat = 3.0
`)
	require.NoError(t, err)
	cases := []struct {
		at           time.Duration
		rate         float64
		lookup, chat float64
	}{
		{at: 0, rate: 60, lookup: 1, chat: 1},
		{at: time.Second, rate: 90, lookup: 1, chat: 1},
		{at: 2 * time.Second, rate: 90, lookup: 1, chat: 3},
	}
	for _, c := range cases {
		require.Equal(t, c.rate, p.RateAt(c.at))
		require.Equal(t, c.lookup, p.ShareAt(p.Requests[0], c.at))
		require.Equal(t, c.chat, p.ShareAt(p.Requests[1], c.at))
	}
}
