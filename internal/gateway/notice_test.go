package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/gateway"
)

// Guards against a node that takes an odd value for a notice, or another process's
// notice for that of the endpoint it asked.
func TestNotice(t *testing.T) {
	const refused, other = http.StatusServiceUnavailable, http.StatusMisdirectedRequest
	cases := map[string]struct {
		status  int
		leaving []string
		rest    []string
		want    gateway.Notice
	}{
		"none":                        {status: http.StatusOK},
		"leaves":                      {status: http.StatusOK, leaving: []string{"1"}, want: gateway.Notice{Leaving: true}},
		"leaves, in a failure":        {status: http.StatusInternalServerError, leaving: []string{" 1 "}, want: gateway.Notice{Leaving: true}},
		"leaves, among others":        {status: http.StatusOK, leaving: []string{"0", "1"}, want: gateway.Notice{Leaving: true}},
		"does not leave":              {status: http.StatusOK, leaving: []string{"0"}},
		"an unknown word on leaving":  {status: http.StatusOK, leaving: []string{"soon"}},
		"another process leaves":      {status: other, leaving: []string{"1"}, rest: []string{"3"}},
		"rests":                       {status: refused, rest: []string{"3"}, want: gateway.Notice{Rest: 3 * time.Second}},
		"rests for a part of seconds": {status: refused, rest: []string{" 0.25 "}, want: gateway.Notice{Rest: 250 * time.Millisecond}},
		"rests, with another status":  {status: http.StatusTooManyRequests, rest: []string{"3"}, want: gateway.Notice{Rest: 3 * time.Second}},
		"rests, said twice":           {status: refused, rest: []string{"1", "2"}, want: gateway.Notice{Rest: 2 * time.Second}},
		"leaves and rests":            {status: refused, leaving: []string{"1"}, rest: []string{"3"}, want: gateway.Notice{Leaving: true, Rest: 3 * time.Second}},
		"a rest in an answer":         {status: http.StatusOK, rest: []string{"3"}},
		"no rest":                     {status: refused, rest: []string{"0"}},
		"an empty rest":               {status: refused, rest: []string{""}},
		"a negative rest":             {status: refused, rest: []string{"-3"}},
		"a date":                      {status: refused, rest: []string{"Wed, 21 Oct 2015 07:28:00 GMT"}},
		"no number":                   {status: refused, rest: []string{"NaN"}},
		"an endless rest":             {status: refused, rest: []string{"Inf"}},
		"a number with an exponent":   {status: refused, rest: []string{"1e9"}},
		"a rest beyond all bounds":    {status: refused, rest: []string{"99999999999999999999"}, want: gateway.Notice{Rest: 24 * time.Hour}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := gateway.Headers{Leaving: "Leaving", Rest: "Retry-After"}
			header := http.Header{"Leaving": c.leaving, "Retry-After": c.rest}
			require.Equal(t, c.want, h.Notice(c.status, header))
		})
	}
}
