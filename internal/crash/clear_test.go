package crash_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestOperatorClearsFeature(t *testing.T) {
	for _, c := range []struct {
		name, path, from string
		status           int
		cleared          bool
	}{
		{name: "own machine", path: "/crashes/7", from: "10.0.0.1:999", status: http.StatusOK, cleared: true},
		{name: "another machine", path: "/crashes/7", from: "10.0.0.2:999", status: http.StatusForbidden},
		{name: "unknown print", path: "/crashes/8", from: "10.0.0.1:999", status: http.StatusNotFound},
		{name: "malformed print", path: "/crashes/x-y", from: "10.0.0.1:999", status: http.StatusBadRequest},
	} {
		t.Run(c.name, func(t *testing.T) {
			tracker, _, _ := newTracker(3)
			for i := range 3 {
				tracker.Broke(whole(request), endpoint(i))
			}
			mux := http.NewServeMux()
			mux.HandleFunc("DELETE /crashes/{print}", tracker.ServeClear)
			r := httptest.NewRequest(http.MethodDelete, c.path, http.NoBody)
			r.RemoteAddr = c.from
			r = r.WithContext(context.WithValue(r.Context(), http.LocalAddrContextKey, net.Addr(&net.TCPAddr{IP: net.IPv4(10, 0, 0, 1).To4(), Port: 9464})))
			w := httptest.NewRecorder()
			mux.ServeHTTP(w, r)
			require.Equal(t, c.status, w.Code, w.Body.String())
			require.Equal(t, c.cleared, tracker.Isolated(whole(request)).Left == 0)
			require.Equal(t, c.cleared, len(tracker.Recent(time.Now(), time.Now()).Cleared) > 0, "it is reported to other nodes")
		})
	}
}

// Guards against a call of an operator that counts as an answer: crashes that follow it
// would not be counted.
func TestCrashesAfterAnOperatorsCallCount(t *testing.T) {
	tracker, _, _ := newTracker(3)
	require.Zero(t, tracker.Clear(request))
	for i := range 3 {
		tracker.Broke(whole(request), endpoint(i))
	}
	require.Positive(t, tracker.Isolated(whole(request)).Left)
}
