package handover_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/handover"
)

// Guards against a caller whose connection is closed without a response, as another node
// passes an invalid status on.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []int{-1, 0, 1, 99, 199, 1000} {
		for name, answer := range map[string]func(w *handover.Writer){
			"response": func(w *handover.Writer) {
				w.WriteHeader(status)
				_, _ = w.Write([]byte("hi"))
			},
			"empty response": func(w *handover.Writer) { w.WriteHeader(status) },
			"refusal":        func(w *handover.Writer) { w.Refuse(handover.Refusal{Status: status}) },
		} {
			c, addr := newPair(t, &fakeHandler{hand: func(_ context.Context, _ *handover.Offer, _ []byte, w *handover.Writer) { answer(w) }})
			var x *handover.Exchange
			var err error
			// An offer is not taken if its answer is late.
			require.Eventually(t, func() bool {
				x, err = c.Offer(t.Context(), addr, &handover.Offer{})
				return err == nil
			}, 10*time.Second, time.Millisecond)
			require.NoError(t, x.Send(nil))
			_, err = x.Next()
			require.ErrorIs(t, err, handover.ErrBroken, "%s with status %d", name, status)
			x.Close()
		}
	}
}
