package endpoint_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/endpoint"
)

// invalidFields are lines of a head whose names of fields are invalid, although net/http
// accepts them.
var invalidFields = []string{"Content-Length : 2", "Content Length: 2", "Transfer-Encoding : chunked", "A B: x"}

// serveText serves connections that answer a request with a text and end.
func serveText(t *testing.T, text string) netip.AddrPort {
	t.Helper()
	return serve(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			// An error means that the client has closed the connection.
			_, _ = io.WriteString(c, text)
		}
	})
}

// Guards against a caller that gets another body than the endpoint's, and against a node
// that relies on an answer whose head it does not understand as a whole.
func TestInvalidFieldNameIsNoAnswer(t *testing.T) {
	for _, line := range invalidFields {
		text := "HTTP/1.1 200 OK\r\n" + endpoint.HeaderAttempt + ": 1f\r\n" + line + "\r\nContent-Length: 2\r\n\r\n{}"
		for name, call := range calls {
			t.Run(line+" "+name, func(t *testing.T) {
				require.ErrorIs(t, call(t.Context(), newClient(t), serveText(t, text)), endpoint.ErrLost)
			})
		}
	}
}

// Guards against a call that runs again, as an answer says so whose head is invalid.
func TestRefusalWithAnInvalidHeadProvesNothing(t *testing.T) {
	for _, line := range invalidFields {
		text := "HTTP/1.1 503 X\r\n" + endpoint.HeaderNotRun + ": 1\r\n" + line + "\r\nContent-Length: 2\r\n\r\n{}"
		_, err := newClient(t).Do(t.Context(), serveText(t, text), endpoint.Call{Attempt: "1f", Once: true})
		require.ErrorIs(t, err, endpoint.ErrLost)
		require.NotErrorIs(t, err, endpoint.ErrNotRun)
	}
}

// Guards against a panic, and against a success that no endpoint sent: an http.ResponseWriter
// takes no status below 100, and one below 200 ends no answer.
func TestImpossibleStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "0", "00", "-12", "+20", "20", "2000", "2x0", ""} {
		t.Run(status, func(t *testing.T) {
			text := "HTTP/1.1 " + status + " X\r\n" + endpoint.HeaderAttempt + ": 1f\r\nContent-Length: 2\r\n\r\nhi"
			for _, once := range []bool{false, true} {
				_, err := newClient(t).Do(t.Context(), serveText(t, text), endpoint.Call{Attempt: "1f", Once: once})
				require.ErrorIs(t, err, endpoint.ErrLost)
			}
		})
	}
}
