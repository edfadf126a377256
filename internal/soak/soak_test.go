package soak_test

import (
	"bytes"
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/soak"
)

// seeds are run for a short time, without the guarantees that have a time bound.
var seeds = []struct {
	seed uint64
	// reason is what the seed once showed.
	reason string
	// faults are those that are injected, all if there are none.
	faults []string
}{
	{seed: 1, reason: "the short run of every test"},
	{seed: 106, reason: "requests without an ID reached an endpoint: another test run had connected to a port that was free again; runs have had addresses of their own since"},
	{seed: 2809, reason: "streams were cut for want of a retry when endpoints of a service that a change had brought in fell silent", faults: []string{"silence", "changes"}},
	{seed: 57, reason: "the short run of bytes without end beside changes", faults: []string{"endless", "changes"}},
}

func TestSeeds(t *testing.T) {
	program := filepath.Join(t.TempDir(), "bulrushhinge")
	out, err := exec.Command("go", "build", "-o", program, "bulrushhinge.example/bulrushhinge/cmd/bulrushhinge").CombinedOutput()
	require.NoError(t, err, string(out))
	for _, s := range seeds {
		var report bytes.Buffer
		err := soak.Run(context.Background(), soak.Config{
			Program: program, Folder: t.TempDir(), Seed: s.seed, Length: 12 * time.Second, Nodes: 4, Callers: 12, Owners: 2, Faults: s.faults, Out: &report,
		})
		require.NoError(t, err, report.String())
		require.Contains(t, report.String(), "200: ")
		require.NotContains(t, report.String(), "NO OWNER")
	}
}
