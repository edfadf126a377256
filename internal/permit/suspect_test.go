package permit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/permit"
)

// Guards against innocent requests that are isolated together with the one that
// crashes endpoints.
func TestStrongSuspectRunsWithoutOtherSuspects(t *testing.T) {
	cases := []struct {
		name string
		held []int
		next int
		want permit.Verdict
	}{
		{"among others", []int{0, 0, 0}, 2, permit.Granted},
		{"weak beside weak", []int{1, 1, 1}, 1, permit.Granted},
		{"too many weak", []int{1, 1, 1, 1}, 1, permit.Full},
		{"weak beside strong", []int{2}, 1, permit.Full},
		{"strong beside weak", []int{1}, 2, permit.Full},
		{"strong beside strong", []int{2}, 2, permit.Full},
		{"others beside strong", []int{2}, 0, permit.Granted},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newOverload()
			p.view.At = p.now
			ask := permit.Request{Endpoint: "w1", Lease: time.Minute}
			for i, suspect := range c.held {
				ask.ID, ask.Suspect = uint64(i+1), suspect
				require.Equal(t, permit.Granted, p.gate.Admit(p.now, ask))
			}
			ask.ID, ask.Suspect = 100, c.next
			require.Equal(t, c.want, p.gate.Admit(p.now, ask))
		})
	}
}
