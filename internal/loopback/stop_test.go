package loopback_test

import (
	"bufio"
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/loopback"
	"bulrushhinge.example/bulrushhinge/internal/platform"
	"bulrushhinge.example/bulrushhinge/pkg/entry"
)

const (
	stopGrace   = 600 * time.Millisecond
	stopLinger  = 600 * time.Millisecond
	stopCallers = 8
	// stopTokens makes a stream that outlasts grace and linger.
	stopTokens = 400
)

var errCutAnswer = errors.New("an answer was cut")

// Guards against this failure: a caller loses an answer, or cannot tell whether its request was
// run, when a node is replaced.
func TestStopCutsNothing(t *testing.T) {
	f := start(t, stopConfig())
	addr := f.Caller("n1")
	stopped := make(chan error, 1)
	stopUnderLoad(t, f, addr, func() {
		go func() { stopped <- f.StopNode(context.WithoutCancel(t.Context()), "n1") }()
	})
	require.NoError(t, <-stopped)
	requireRefused(t, addr)
}

// TestProcessStopCutsNothing is the same with the real program and a signal.
func TestProcessStopCutsNothing(t *testing.T) {
	f := start(t, stopConfig())
	node := startProcess(t, f, "n9")
	require.NoError(t, f.List(platform.Instance{
		Name: "n9", Kind: kernel.KindNode, Zone: "thies-a", Addr: node.Callers, Peer: node.Peers,
	}))
	awaitEntry(t, f.Caller("n2"), node.Callers, true)
	awaitAnswer(t, node.Callers)
	stopUnderLoad(t, f, node.Callers, func() {
		require.NoError(t, node.command.Process.Signal(syscall.SIGTERM))
	})
	require.NoError(t, node.command.Wait(), "a planned stop exits with 0")
	requireRefused(t, node.Callers)
}

// Guards against an answer that outlasts a node's stop and ends without a word.
func TestStopThatCutsSaysSo(t *testing.T) {
	tests := map[string]struct {
		once bool
		// nodes is where the request, or copies of it, are answered.
		nodes []string
	}{
		"repeatable": {false, []string{"n1"}},
		"once":       {true, []string{"n1", "n2"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := start(t, stopConfig())
			x := exchange{node: "n1", path: chatPath, body: strings.Replace(notice(1), `"max_tokens":8`, `"max_tokens":1000000`, 1), repeatable: !test.once}
			if test.once {
				x.ticket = ticketOf(t, f, "n1", x.body)
			}
			var answers []*http.Response
			for _, node := range test.nodes {
				x.node = node
				resp, err := x.request(t.Context(), f)
				require.NoError(t, err)
				defer resp.Body.Close()
				_, err = resp.Body.Read(make([]byte, 1))
				require.NoError(t, err)
				answers = append(answers, resp)
			}
			ctx, cancel := context.WithTimeout(t.Context(), stopGrace+stopLinger)
			defer cancel()
			require.ErrorIs(t, f.StopNode(ctx, "n1"), context.DeadlineExceeded)
			for _, resp := range answers {
				rest, err := io.ReadAll(resp.Body)
				require.Error(t, err, "the connection breaks")
				require.NotContains(t, string(rest), "[DONE]")
				require.Contains(t, string(rest), `"type":"stopping"`)
				require.Contains(t, string(rest), `"ran":"unknown"`)
			}
		})
	}
}

func stopConfig() loopback.Config {
	c := loopback.Thies()
	c.Nodes = c.Nodes[:3]
	c.Grace, c.Linger = stopGrace, stopLinger
	return c
}

// stopUnderLoad stops the node at addr while callers load it, and checks what
// each of them got.
func stopUnderLoad(t *testing.T, f *loopback.Fleet, addr netip.AddrPort, stop func()) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	long, err := open(t.Context(), client, addr, stopTokens)
	require.NoError(t, err)
	defer long.Body.Close()
	_, err = long.Body.Read(make([]byte, 1))
	require.NoError(t, err)
	var callers sync.WaitGroup
	results := make(chan error, stopCallers)
	var leaving atomic.Int64
	answered := make(chan struct{}, stopCallers)
	for range stopCallers {
		callers.Go(func() { results <- askUntilRefused(t.Context(), addr, answered, &leaving) })
	}
	for range stopCallers {
		<-answered
	}
	stop()
	awaitEntry(t, f.Caller("n2"), addr, false)
	callers.Wait()
	for range stopCallers {
		require.NoError(t, <-results)
	}
	require.Positive(t, leaving.Load(), "the node serves on while its callers hear of the stop")
	rest, err := io.ReadAll(long.Body)
	require.NoError(t, err)
	require.True(t, strings.HasSuffix(string(rest), "data: [DONE]\n\n"))
	require.Equal(t, stopTokens+1, strings.Count(string(rest), `"id"`))
}

// askResult is a whole answer, or a refusal as not run, and whether it ended its
// connection.
type askResult struct{ refused, closed bool }

// askUntilRefused sends requests over one kept connection until one is refused
// as not run, as a caller does that then turns to another node. It counts the
// whole answers that ended their connection.
func askUntilRefused(ctx context.Context, addr netip.AddrPort, answered chan<- struct{}, leaving *atomic.Int64) error {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for i := 0; ; i++ {
		result, err := askOnce(ctx, client, addr)
		if err != nil || result.refused {
			return err
		}
		if result.closed {
			leaving.Add(1)
		}
		if i == 0 {
			answered <- struct{}{}
		}
	}
}

func askOnce(ctx context.Context, client *http.Client, addr netip.AddrPort) (askResult, error) {
	body := strings.NewReader(`{"model":"notices","stream":true,"max_tokens":4,"messages":[{"role":"user","content":"hi"}]}`)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%v%s", addr, entry.PathChat), body)
	if err != nil {
		return askResult{}, err
	}
	req.Header.Set("Authorization", "Bearer "+loopback.Secret("a2"))
	resp, err := client.Do(req)
	if err != nil {
		return askResult{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return askResult{}, err
	case resp.StatusCode == http.StatusOK && strings.HasSuffix(string(data), "data: [DONE]\n\n"):
		return askResult{closed: resp.Close}, nil
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(entry.HeaderRan) == string(entry.RanNot) && resp.Close:
		return askResult{refused: true, closed: true}, nil
	default:
		return askResult{}, fmt.Errorf("%w: %s: %s", errCutAnswer, resp.Status, data)
	}
}

// awaitEntry waits until a node's entry answer names an address, or no more.
func awaitEntry(t *testing.T, from, addr netip.AddrPort, named bool) {
	t.Helper()
	for {
		resp, err := http.Get(fmt.Sprintf("http://%v%s?zone=thies-a", from, entry.PathEntry))
		require.NoError(t, err)
		var a entry.Answer
		err = json.NewDecoder(resp.Body).Decode(&a)
		resp.Body.Close()
		require.NoError(t, err)
		if slices.Contains(a.Nodes, addr) == named {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// awaitAnswer waits until a node serves requests.
func awaitAnswer(t *testing.T, addr netip.AddrPort) {
	t.Helper()
	for {
		result, err := askOnce(t.Context(), http.DefaultClient, addr)
		if err == nil && !result.refused {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func requireRefused(t *testing.T, addr netip.AddrPort) {
	t.Helper()
	_, err := askOnce(t.Context(), &http.Client{Transport: &http.Transport{}}, addr)
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
}

// process is a node in a process of its own, with the addresses it logs.
type process struct {
	command *exec.Cmd
	Callers netip.AddrPort `json:"callers"`
	Peers   netip.AddrPort `json:"peers"`
}

func startProcess(t *testing.T, f *loopback.Fleet, name string) *process {
	t.Helper()
	program := filepath.Join(t.TempDir(), "bulrushhinge")
	out, err := exec.Command("go", "build", "-o", program, "../../cmd/bulrushhinge").CombinedOutput()
	require.NoError(t, err, string(out))
	p := &process{command: exec.Command(program, "node",
		"--instance", name, "--zone", "thies-a", "--platform", f.PlatformAddr().String(),
		"--keys", hex.EncodeToString(f.OperatorKey()), "--grace", stopGrace.String(), "--linger", stopLinger.String(),
		"--callers", "127.0.0.1:0", "--peers", "127.0.0.1:0", "--operators", "127.0.0.1:0")}
	p.command.Env = append(os.Environ(), "BULRUSHHINGE_FLEET_KEY="+hex.EncodeToString(f.FleetSecret()))
	log, err := p.command.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, p.command.Start())
	t.Cleanup(func() { _ = p.command.Process.Kill() })
	lines := bufio.NewScanner(log)
	for lines.Scan() && !strings.Contains(lines.Text(), "node started") {
		t.Log(lines.Text())
	}
	require.NoError(t, json.Unmarshal(lines.Bytes(), p))
	go func() { _, _ = io.Copy(io.Discard, log) }()
	return p
}

// pause stops the process and waits until none of its threads runs any more: on a
// busy machine the others go on until the one that takes the signal has its turn.
func (p *process) pause(t *testing.T) {
	t.Helper()
	require.NoError(t, p.command.Process.Signal(syscall.SIGSTOP))
	require.Eventually(t, func() bool { return p.stopped(t) }, patience, time.Millisecond)
}

// stopped reports whether all threads are in state T of proc(5).
func (p *process) stopped(t *testing.T) bool {
	t.Helper()
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.command.Process.Pid))
	require.NoError(t, err)
	require.NotEmpty(t, threads)
	for _, path := range threads {
		stat, err := os.ReadFile(path)
		_, state, _ := strings.Cut(string(stat), ") ")
		if err != nil || !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return true
}
