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

// newFaults are not in the short runs yet.
var newFaults = []string{"silence", "endless", "changes"}

// seeds are run for a short time, without the guarantees that have a time bound.
var seeds = []struct {
	seed uint64
	// reason is what the seed once showed.
	reason string
	// without are faults that are not injected.
	without []string
}{
	{seed: 1, reason: "the short run of every test", without: newFaults},
	{seed: 106, reason: "requests without an ID reached an endpoint: another test run had connected to a port that was free again; runs have had addresses of their own since", without: newFaults},
}

func TestSeeds(t *testing.T) {
	program := filepath.Join(t.TempDir(), "bulrushhinge")
	out, err := exec.Command("go", "build", "-o", program, "bulrushhinge.example/bulrushhinge/cmd/bulrushhinge").CombinedOutput()
	require.NoError(t, err, string(out))
	for _, s := range seeds {
		var report bytes.Buffer
		err := soak.Run(context.Background(), soak.Config{
			Program: program, Folder: t.TempDir(), Seed: s.seed, Length: 8 * time.Second, Nodes: 4, Callers: 12, Owners: 2, Without: s.without, Out: &report,
		})
		require.NoError(t, err, report.String())
		require.Contains(t, report.String(), "200: ")
		require.NotContains(t, report.String(), "NO OWNER")
	}
}
