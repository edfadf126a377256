package gateway_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

// Guards against a caller whose connection is closed without a response, as the endpoint's
// has an invalid status.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+99"} {
		text := "HTTP/1.1 " + status + " X\r\n" + id + ": {id}\r\n" + seal + ": s\r\nContent-Length: 2\r\n\r\nhi"
		f := newFixture(t, deployment.Route{Kind: deployment.AtMostOnce, Attempts: 1}, newEndpoint(t, raw(text)))
		require.Equal(t, 502, f.post(t, "/p/x", nil).status, status)
	}
}
