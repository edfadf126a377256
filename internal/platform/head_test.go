package platform_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/platform"
)

// Guards against a value of another epoch or size, because the name of a field in its
// response has a blank.
func TestResponseWithAnInvalidHead(t *testing.T) {
	for _, line := range []string{platform.HeaderEpoch + " : 3", "Content-Length : 2", "Transfer-Encoding : chunked", "A B: x"} {
		t.Run(line, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					// An error means that the client has closed the connection.
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+platform.HeaderVersion+": 1\r\n"+line+"\r\n\r\n{}")
				}
			}()
			c := platform.NewClient(platform.ClientConfig{Addr: netip.MustParseAddrPort(l.Addr().String())})
			defer c.Close()
			_, err = c.Get(t.Context(), platform.KeyInstances)
			require.ErrorIs(t, err, platform.ErrUnavailable)
		})
	}
}
