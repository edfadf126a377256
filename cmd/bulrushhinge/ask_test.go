package main_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/netip"
	"os/exec"
	"regexp"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/loopback"
)

// turnEnd is the line after each whole answer.
var turnEnd = regexp.MustCompile(`^\[node (\S+), request [0-9a-f]+, \d+ of \d+ prompt tokens cached\]$`)

// Guards against a chat that fails after the node that served it has been killed.
func TestAskContinuesAChatAfterItsNodeIsKilled(t *testing.T) {
	c := loopback.Thies()
	c.Nodes = c.Nodes[:3]
	log := logrus.New()
	log.SetOutput(io.Discard)
	c.Log = log
	f, err := loopback.New(c)
	require.NoError(t, err)
	defer func() { require.NoError(t, f.Close()) }()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	require.NoError(t, f.Ready(ctx))
	names := map[netip.AddrPort]string{}
	args := []string{"ask", "--key", loopback.Secret("a1"), "--model", "notices", "--max-tokens", "3"}
	for _, n := range c.Nodes {
		names[f.Caller(n.Name)] = n.Name
		args = append(args, "--entry", f.Caller(n.Name).String())
	}
	ask := exec.CommandContext(ctx, binary, args...)
	in, err := ask.StdinPipe()
	require.NoError(t, err)
	out, err := ask.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, ask.Start())
	lines := bufio.NewScanner(out)
	first := turn(t, in, lines, "first")
	require.NoError(t, f.KillNode(names[first]))
	require.NotEqual(t, first, turn(t, in, lines, "second"))
	require.NoError(t, in.Close())
	require.NoError(t, ask.Wait())
}

// turn sends text to the ask command and returns the node that answered.
func turn(t *testing.T, in io.Writer, lines *bufio.Scanner, text string) netip.AddrPort {
	t.Helper()
	_, err := fmt.Fprintln(in, text)
	require.NoError(t, err)
	for lines.Scan() {
		if m := turnEnd.FindStringSubmatch(lines.Text()); m != nil {
			return netip.MustParseAddrPort(m[1])
		}
		require.Contains(t, lines.Text(), text, "the answer repeats the question")
	}
	require.Fail(t, "ask ended", lines.Err())
	return netip.AddrPort{}
}
