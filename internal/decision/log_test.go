package decision_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/decision"
)

// blockedWriter is a writer that blocks until it is released.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(p)
}

// Guards against requests that hang because the log's output does not accept data.
func TestBlockedOutputDoesNotBlockEvents(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	l := decision.New(decision.LogConfig{To: w, Node: "n1"})
	for range 5000 {
		l.Event("attempt", decision.Fields{"request": "q"})
	}
	require.Positive(t, l.Dropped())
	close(w.release)
	l.Close()
	l.Event("late", nil)
	lines := strings.Split(strings.TrimSpace(w.written.String()), "\n")
	require.Less(t, len(lines), 1000)
	var first map[string]any
	require.NoError(t, json.Unmarshal([]byte(lines[0]), &first))
	require.Equal(t, "attempt", first["event"])
	require.Equal(t, "n1", first["node"])
	require.Equal(t, "q", first["request"])
}
