package replay_test

import (
	"bytes"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/policy"
	"bulrushhinge.example/bulrushhinge/internal/replay"
	"bulrushhinge.example/bulrushhinge/pkg/trace"
)

func read(t *testing.T, name string) *trace.Trace {
	t.Helper()
	data, err := os.ReadFile("testdata/" + name)
	require.NoError(t, err)
	tr, err := trace.Read(bytes.NewReader(data))
	require.NoError(t, err)
	return tr
}

func run(t *testing.T, tr *trace.Trace, name string) *replay.Result {
	t.Helper()
	p, err := policy.Find(name)
	require.NoError(t, err)
	r, err := replay.Run(tr, replay.Config{Policy: p})
	require.NoError(t, err)
	return r
}

// The same trace must give the same report, byte for byte.
func TestReportIsDeterministic(t *testing.T) {
	tr := read(t, "churn.jsonl")
	var first, second bytes.Buffer
	require.NoError(t, replay.Table(&first, []*replay.Result{run(t, tr, policy.Present)}))
	require.NoError(t, replay.Table(&second, []*replay.Result{run(t, tr, policy.Present)}))
	require.Equal(t, first.String(), second.String())
}

// Guards against a policy that, on a small trace, leaves a request unanswered,
// runs one twice that must not be repeated, takes the answer of an old attempt,
// reports one as not run that ran, or places new work long after a leave notice.
func TestInvariantsHold(t *testing.T) {
	for _, p := range policy.All() {
		t.Run(p.Name, func(t *testing.T) {
			t.Parallel()
			tr := read(t, "churn.jsonl")
			r := run(t, tr, p.Name)
			require.Zero(t, r.Lost)
			require.Zero(t, r.Doubled)
			require.Zero(t, r.Cut)
			require.Zero(t, r.Crossed)
			require.Zero(t, r.FalseNot)
			require.Zero(t, r.Late)
			require.Less(t, r.Force, 4.0)
			require.Equal(t, r.Asks, r.Whole+r.Broken+r.Expired+refused(r))
		})
	}
}

func refused(r *replay.Result) int {
	n := 0
	for _, k := range r.Refused {
		n += k
	}
	return n
}
