package main_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/examples"
	"bulrushhinge.example/bulrushhinge/internal/loopback"
	"bulrushhinge.example/bulrushhinge/pkg/manifest"
)

// binary is the command under test, built once.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "bulrushhinge")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binary = filepath.Join(dir, "bulrushhinge")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v: %s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// run runs the command with an otherwise empty environment.
func run(t *testing.T, env []string, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	var out, errs bytes.Buffer
	c := exec.CommandContext(t.Context(), binary, args...)
	c.Env, c.Stdout, c.Stderr = env, &out, &errs
	err := c.Run()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.ExitCode(), out.String(), errs.String()
	}
	require.NoError(t, err)
	return 0, out.String(), errs.String()
}

func write(t *testing.T, name string, data []byte) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(file, data, 0o600))
	return file
}

func sample(t *testing.T, revision uint64, rate float64) []byte {
	t.Helper()
	data, err := manifest.Encode(&manifest.Manifest{
		Revision: revision,
		Accounts: []manifest.Account{{Name: "a1", Key: manifest.KeyDigest("secret"), Rate: rate, Burst: 10}},
	})
	require.NoError(t, err)
	return data
}

func TestNodeReportsEveryInvalidSetting(t *testing.T) {
	code, _, stderr := run(t, []string{"BULRUSHHINGE_MAX_BODY=many"},
		"node", "--callers=nowhere", "--keys=ab,cd", "--grace=-1s", "--timeout=1h", "--level=loud")
	require.Equal(t, 2, code)
	for _, want := range []string{
		"--instance (BULRUSHHINGE_INSTANCE) is missing", "--zone (BULRUSHHINGE_ZONE) is missing",
		"--platform (BULRUSHHINGE_PLATFORM) is missing", "--callers (BULRUSHHINGE_CALLERS)",
		`"ab" is no Ed25519 public key`, `"cd" is no Ed25519 public key`,
		"--grace (BULRUSHHINGE_GRACE): -1s is below 0", `--max-body (BULRUSHHINGE_MAX_BODY): "many"`,
		"--timeout (BULRUSHHINGE_TIMEOUT) 1h0m0s is over --max-timeout 15m0s", "--level (BULRUSHHINGE_LEVEL)",
	} {
		require.Contains(t, stderr, want)
	}
}

// Guards against a node that starts with a setting that no comparison holds for.
func TestServeReportsInvalidOwners(t *testing.T) {
	for _, value := range []string{"NaN", "-1", "1000.5", "+Inf", "few"} {
		for _, c := range []struct{ env, args []string }{
			{args: []string{"serve", "--check", "--owners=" + value}},
			{env: []string{"BULRUSHHINGE_SERVE_OWNERS=" + value}, args: []string{"serve", "--check"}},
		} {
			code, _, stderr := run(t, c.env, c.args...)
			require.NotZero(t, code)
			require.Contains(t, stderr, "--owners (BULRUSHHINGE_SERVE_OWNERS): ", value)
		}
	}
	for _, value := range []string{"0", "0.5", "1000"} {
		_, _, stderr := run(t, nil, "serve", "--check", "--owners="+value)
		require.NotContains(t, stderr, "--owners", value)
	}
}

func TestManifestCheck(t *testing.T) {
	good := write(t, "manifest.json", sample(t, 1, 5))
	code, stdout, stderr := run(t, nil, "manifest", "check", good)
	require.Zero(t, code, stderr)
	require.Contains(t, stdout, "revision 1 is well formed")
	bad := write(t, "manifest.json", bytes.Replace(sample(t, 0, -1), []byte(`"burst"`), []byte(`"brust"`), 1))
	code, _, stderr = run(t, nil, "manifest", "check", bad)
	require.Equal(t, 1, code)
	for _, want := range []string{"revision: must be 1 or more", "accounts[0].brust: is no field", "accounts[0].burst: is missing", "accounts[0].rate: -1 is not above 0"} {
		require.Contains(t, stderr, want)
	}
}

func TestManifestDiff(t *testing.T) {
	before, after := write(t, "old.json", sample(t, 1, 5)), write(t, "new.json", sample(t, 2, 6))
	code, stdout, _ := run(t, nil, "manifest", "diff", before, after)
	require.Zero(t, code)
	require.Equal(t, "manifest: revision changes from 1 to 2\naccount a1: rate changes from 5 tokens/s to 6 tokens/s\n", stdout)
}

func TestManifestAcceptAndReject(t *testing.T) {
	_, stdout, _ := run(t, nil, "manifest", "key")
	var pair map[string]string
	require.NoError(t, json.Unmarshal([]byte(stdout), &pair))
	before, after := write(t, "old.json", sample(t, 1, 5)), write(t, "new.json", sample(t, 2, 6))
	env := []string{"BULRUSHHINGE_SEED=" + pair["seed"]}
	for _, verdict := range []manifest.Verdict{manifest.VerdictAccept, manifest.VerdictReject} {
		code, stdout, stderr := run(t, env, "manifest", string(verdict), after)
		require.Zero(t, code, stderr)
		record, err := manifest.ParseRecord([]byte(stdout))
		require.NoError(t, err)
		require.Equal(t, verdict, record.Verdict)
		require.Equal(t, uint64(2), record.Revision)
	}
	code, _, stderr := run(t, env, "manifest", "accept", after, "--old", before)
	require.Zero(t, code)
	require.Contains(t, stderr, "rate changes")
	code, _, stderr = run(t, env, "manifest", "accept", before, "--old", after)
	require.Equal(t, 1, code)
	require.Contains(t, stderr, "must be above")
	code, _, stderr = run(t, []string{"BULRUSHHINGE_SEED=abcdef"}, "manifest", "accept", after)
	require.Equal(t, 2, code)
	require.NotContains(t, stderr, "abcdef", "a secret is not shown")
	code, _, _ = run(t, nil, "manifest", "accept", after)
	require.Equal(t, 2, code)
}

func TestManifestSplitWritesPublishedValues(t *testing.T) {
	data := sample(t, 1, 5)
	m, err := manifest.Parse(data)
	require.NoError(t, err)
	parts, err := manifest.Split(m)
	require.NoError(t, err)
	file, dir := write(t, "manifest.json", data), t.TempDir()
	code, _, stderr := run(t, nil, "manifest", "split", file, dir)
	require.Zero(t, code, stderr)
	for d, want := range parts.Values {
		got, err := os.ReadFile(filepath.Join(dir, "manifest", string(d)))
		require.NoError(t, err)
		require.Equal(t, string(want), string(got))
	}
	_, stdout, _ := run(t, nil, "manifest", "split", file)
	require.Equal(t, len(parts.Values), strings.Count(stdout, "\n"))
	for line := range strings.Lines(stdout) {
		var published struct {
			Key   string
			Value json.RawMessage
		}
		require.NoError(t, json.Unmarshal([]byte(line), &published))
		require.Equal(t, "manifest/"+string(manifest.Sum(published.Value)), published.Key)
	}
}

func TestExampleSettings(t *testing.T) {
	for _, name := range []string{examples.Thies, examples.Karamanlis} {
		e, err := examples.Load(name)
		require.NoError(t, err)
		var env []string
		for line := range strings.Lines(string(e.Settings)) {
			if !strings.HasPrefix(line, "#") {
				env = append(env, strings.TrimSpace(line))
			}
		}
		code, _, stderr := run(t, env, "node", "--check")
		require.Zero(t, code, stderr)
	}
}

// TestSettingsPage guards against differences between the operators' page and the
// command line. The page's tables are the output of the command below.
func TestSettingsPage(t *testing.T) {
	code, stdout, stderr := run(t, nil, "settings", "node", "serve", "state", "explain", "manifest")
	require.Zero(t, code, stderr)
	page, err := os.ReadFile("../../docs/operators/settings.md")
	require.NoError(t, err)
	_, tables, found := strings.Cut(string(page), "<!-- tables -->\n")
	require.True(t, found)
	require.Equal(t, stdout, tables)
}

func TestStateShowsARunningNode(t *testing.T) {
	c := loopback.Thies()
	c.Log = logrus.New()
	c.Log.(*logrus.Logger).SetOutput(io.Discard)
	f, err := loopback.New(c)
	require.NoError(t, err)
	defer f.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	require.NoError(t, f.Ready(ctx))
	env := []string{"BULRUSHHINGE_TOKEN=" + loopback.Token, "BULRUSHHINGE_OPERATORS=" + f.Operator("n1").String()}
	code, stdout, stderr := run(t, env, "state")
	require.Zero(t, code, stderr)
	for _, want := range []string{"revision in force: 1", "accepted", "n8", "w12", "counter", "live"} {
		require.Contains(t, stdout, want)
	}
	code, stdout, _ = run(t, env, "state", "--json")
	require.Zero(t, code)
	require.True(t, json.Valid([]byte(stdout)))
	code, _, stderr = run(t, env, "state", "--request", "abc")
	require.Equal(t, 1, code)
	require.Contains(t, stderr, "no such request")
	code, _, stderr = run(t, env[1:], "state")
	require.Equal(t, 1, code)
	require.Contains(t, stderr, "bearer token")
}
