package http1_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/http1"
)

// invalidNames are lines of a head whose names of fields are invalid.
var invalidNames = map[string]string{
	"blank before the colon":   "A : x",
	"blanks before the colon":  "A  : x",
	"blank in the name":        "A B: x",
	"blank at the beginning":   " A: x",
	"only a blank":             " : x",
	"tab before the colon":     "A\t: x",
	"control byte":             "A\x01: x",
	"byte that is not ASCII":   "A\xe4: x",
	"empty name":               ": x",
	"no colon":                 "A",
	"length with a blank":      "Content-Length : 1",
	"chunks with a blank":      "Transfer-Encoding : chunked",
	"separator":                "A(B): x",
	"name that looks like one": "HTTP/1.1 200 OK: x",
}

// Guards against a response whose head is not understood as a whole: its body may end
// elsewhere than net/http finds.
func TestInvalidFieldNames(t *testing.T) {
	for name, line := range invalidNames {
		for _, first := range []string{"X: y\r\n", ""} {
			if first != "" && line[0] == ' ' {
				// It continues the line before it.
				continue
			}
			t.Run(name, func(t *testing.T) {
				s := newServer(t, each(func(id string, _ int) string {
					return "HTTP/1.1 200 OK\r\n" + first + line + "\r\n" + header + ": " + id + "\r\nContent-Length: 1\r\n\r\nx"
				}))
				p := http1.NewPool(http1.PoolConfig{RequestID: header})
				defer p.Close()
				_, err := do(t.Context(), p, s.addr, "a", time.Minute)
				require.ErrorIs(t, err, http1.ErrBroken)
			})
			t.Run(name+" of a proxy", func(t *testing.T) {
				e := &http1.Egress{Proxy: newProxy(t, "HTTP/1.1 200 OK\r\n"+first+line+"\r\n\r\n"), Timeout: time.Second}
				_, err := e.DialContext(t.Context(), "tcp4", "10.0.0.1:80")
				require.ErrorIs(t, err, http1.ErrEgress)
			})
		}
	}
}

// All characters that a name may have.
func TestValidFieldNames(t *testing.T) {
	s := newServer(t, each(func(id string, _ int) string {
		return "HTTP/1.1 200 OK\r\naZ09!#$%&'*+-.^_`|~: x y\r\nEmpty:\r\n" + ok(id)[len("HTTP/1.1 200 OK\r\n"):]
	}))
	p := http1.NewPool(http1.PoolConfig{RequestID: header})
	defer p.Close()
	_, err := do(t.Context(), p, s.addr, "a", time.Minute)
	require.NoError(t, err)
}
