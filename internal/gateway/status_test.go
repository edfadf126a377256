package gateway_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

// Guards against a caller whose connection is closed without a response, as the endpoint's
// has an invalid status.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+99", "0", "00", "-12", "+20", "20", "2000", "2x0", ""} {
		text := "HTTP/1.1 " + status + " X\r\n" + id + ": {id}\r\n" + seal + ": s\r\nContent-Length: 2\r\n\r\nhi"
		for _, kind := range []deployment.Kind{deployment.AtMostOnce, deployment.Streaming, deployment.Resumable} {
			f := newFixture(t, deployment.Route{Kind: kind, Attempts: 1}, newEndpoint(t, raw(text)))
			require.Equal(t, 502, f.post(t, "/p/x", nil).status, status)
		}
	}
}

// Guards against a panic, and against a 200 that no endpoint sent, after a status below 100.
func TestImpossibleStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "099"} {
		for name, newGateway := range newGateways {
			t.Run(name+" "+status, func(t *testing.T) {
				e := newEndpoint(t, raw("HTTP/1.1 "+status+" X\r\n"+id+": {id}\r\n"+seal+": s\r\nContent-Length: 2\r\n\r\nhi"))
				f := newGateway(t, deployment.Route{Kind: deployment.AtMostOnce, Attempts: 1}, e)
				got := f.post(t, "/p/x", nil)
				require.Equal(t, 502, got.status)
				require.Equal(t, "endpoint-broke-off\n", got.body)
				require.Empty(t, f.lines(t, "panic"))
			})
		}
	}
}
