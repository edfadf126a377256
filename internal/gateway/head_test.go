package gateway_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

// invalidHeads are lines of heads that net/http accepts although the names of their fields
// are invalid. The first three hide how the body ends.
var invalidHeads = map[string]string{
	"length":                    headOf("Content-Length : 2") + "hi and more",
	"length with a blank in it": headOf("Content Length: 2") + "hi and more",
	"chunks":                    headOf("Transfer-Encoding : chunked") + "2\r\nhi\r\n0\r\n\r\n",
	"other field":               headOf("A B: x\r\nContent-Length: 2") + "hi",
	"stream":                    headOf("Transfer-Encoding : chunked") + "1e\r\n" + events(1, 2) + "\r\n0\r\n\r\n",
}

// Guards against a caller that gets another body than the endpoint's, or a line that is no
// field, because the name of a field has a blank.
func TestInvalidFieldNameIsNoAnswer(t *testing.T) {
	for name, text := range invalidHeads {
		for kindName, kind := range map[string]deployment.Kind{"plain": deployment.AtMostOnce, "streaming": deployment.Streaming, "resumable": deployment.Resumable} {
			for place, newGateway := range newGateways {
				t.Run(name+" "+kindName+" "+place, func(t *testing.T) {
					f := newGateway(t, deployment.Route{Kind: kind, Attempts: 1, Objective: time.Second}, newEndpoint(t, raw(text)))
					r := f.post(t, "/p/x", nil)
					require.Equal(t, 502, r.status, r.body)
					require.Equal(t, "endpoint-broke-off\n", r.body)
					require.Empty(t, r.header.Get(seal))
				})
			}
		}
	}
}

// Guards against a failure with an invalid head that is kept as the best response, and
// against a request that ends with it although another endpoint could have responded.
func TestRequestIsTriedAgainAfterAnInvalidHead(t *testing.T) {
	for name, text := range invalidHeads {
		t.Run(name, func(t *testing.T) {
			shared := &sharedReplies{replies: []reply{raw(text), whole(200, "hi")}}
			f := newFixture(t, deployment.Route{Kind: deployment.Idempotent, Attempts: 2}, newEndpoint(t, shared.play), newEndpoint(t, shared.play))
			r := f.post(t, "/p/x", nil)
			require.Equal(t, 200, r.status)
			require.Equal(t, "hi", r.body)
			require.Equal(t, 2, f.arrivals())
		})
	}
}

// Guards against a request that runs twice, as a refusal with an invalid head counts as one.
func TestRefusalWithAnInvalidHeadProvesNothing(t *testing.T) {
	refusal := "HTTP/1.1 503 X\r\n" + id + ": {id}\r\nNot-Run: 1\r\nContent-Length: 2\r\n\r\nno"
	for _, invalid := range []string{strings.Replace(refusal, "Length:", "Length :", 1), strings.Replace(refusal, "503", "000", 1)} {
		shared := &sharedReplies{replies: []reply{raw(invalid), whole(200, "hi")}}
		f := newFixture(t, deployment.Route{Kind: deployment.AtMostOnce, Attempts: 2}, newEndpoint(t, shared.play), newEndpoint(t, shared.play))
		require.Equal(t, 502, f.post(t, "/p/x", nil).status)
		require.Equal(t, 1, f.arrivals())
	}
}
