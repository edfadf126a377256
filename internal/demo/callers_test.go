package demo_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/demo"
)

var (
	// block matches a block of shell commands in docs/callers.md.
	block = regexp.MustCompile("(?s)```sh\n(.*?)```")
	// assign matches a command whose output is kept in a variable. expect
	// matches a command with the status and the text that its answer must have.
	assign = regexp.MustCompile(`^([A-Z]+)=\$\((.*) \| (jq|grep) .*\)$`)
	expect = regexp.MustCompile(`^(.*?)   # (\d+) (.*)$`)
	// word matches an argument of a shell command, quoted or not.
	word = regexp.MustCompile(`"((?:[^"\\]|\\.)*)"|(\S+)`)
)

// commandRunner runs the shell commands of docs/callers.md without a shell. It
// supports curl with the options that occur there.
type commandRunner struct {
	t    *testing.T
	vars map[string]string
	ran  int
}

// TestCallersPage runs each command of docs/callers.md against the demo, so that
// the page cannot differ from what the fleet answers.
func TestCallersPage(t *testing.T) {
	text, err := os.ReadFile("../../docs/callers.md")
	require.NoError(t, err)
	d, err := demo.New(demo.Config{Deployment: "thies", Out: io.Discard})
	require.NoError(t, err)
	defer func() { require.NoError(t, d.Close()) }()
	p := &commandRunner{t: t, vars: map[string]string{}}
	export, line, _ := strings.Cut(d.Curl(), "\n")
	for _, pair := range strings.Fields(export)[1:] {
		name, value, _ := strings.Cut(pair, "=")
		p.vars[name] = value
	}
	p.run(strings.TrimSpace(line) + "   # 200 data: [DONE]")
	for _, b := range block.FindAllStringSubmatch(string(text), -1) {
		for line := range strings.Lines(b[1]) {
			p.run(strings.TrimSpace(line))
		}
	}
	require.Greater(t, p.ran, 10)
}

func (p *commandRunner) run(line string) {
	p.t.Helper()
	p.ran++
	if m := assign.FindStringSubmatch(line); m != nil {
		resp, body := p.curl(m[2])
		require.Equal(p.t, http.StatusOK, resp.StatusCode, body)
		if m[3] == "grep" {
			p.vars[m[1]] = resp.Header.Get("X-Hint")
			return
		}
		var answer struct{ Tickets []string }
		require.NoError(p.t, json.Unmarshal([]byte(body), &answer))
		p.vars[m[1]] = answer.Tickets[0]
		return
	}
	m := expect.FindStringSubmatch(line)
	require.NotNil(p.t, m, "a line without its status: %s", line)
	resp, body := p.curl(m[1])
	require.Equal(p.t, m[2], strconv.Itoa(resp.StatusCode), "%s\n%s", line, body)
	require.Contains(p.t, body, m[3], line)
}

// curl sends the request of a curl command.
func (p *commandRunner) curl(line string) (*http.Response, string) {
	p.t.Helper()
	args := p.args(line)
	require.Equal(p.t, "curl", args[0])
	method, url, data := http.MethodGet, "", ""
	header := http.Header{}
	for i := 1; i < len(args); i++ {
		switch args[i] {
		case "-s", "-N", "-i":
		case "-X":
			i++
			method = args[i]
		case "-H":
			i++
			name, value, _ := strings.Cut(args[i], ": ")
			header.Set(name, value)
		case "-d":
			i++
			data = args[i]
			method = http.MethodPost
		default:
			require.Empty(p.t, url, "unknown option in %s", line)
			url = args[i]
		}
	}
	req, err := http.NewRequestWithContext(p.t.Context(), method, url, strings.NewReader(data))
	require.NoError(p.t, err)
	req.Header = header
	resp, err := http.DefaultClient.Do(req)
	require.NoError(p.t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(p.t, err)
	return resp, string(body)
}

// args splits a line as a shell does.
func (p *commandRunner) args(line string) []string {
	p.t.Helper()
	var args []string
	for _, m := range word.FindAllStringSubmatch(line, -1) {
		text := m[2]
		if text == "" {
			text = strings.ReplaceAll(m[1], `\"`, `"`)
		}
		args = append(args, os.Expand(text, func(name string) string {
			value, ok := p.vars[name]
			require.True(p.t, ok, fmt.Sprintf("no variable %s in %s", name, line))
			return value
		}))
	}
	return args
}
