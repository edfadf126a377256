package trace_test

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/pkg/trace"
)

const header = `{"name":"t","seed":1,"bound":1.5,"delay":"1ms","zones":["z1"],"nodes":[{"instance":"n1","zone":"z1"}],` +
	`"models":[{"name":"m1","step":"5ms","cache":1000}],"endpoints":[{"endpoint":"w1","zone":"z1","model":"m1"}],` +
	`"accounts":[{"account":"a3","rate":0,"burst":0}]}` + "\n"

const ask = `{"at":"1.25s","kind":"ask","account":"a3","chat":"c17","model":"m1","prefix":812,"input":40,"output":64,"once":false,"priority":0,"deadline":"2s"}` + "\n"

func ExampleRead() {
	t, err := trace.Read(strings.NewReader(header + ask))
	if err != nil {
		fmt.Println(err)
		return
	}
	_ = trace.Write(os.Stdout, &trace.Trace{Header: trace.Header{}, Events: t.Events})
	_, err = trace.Read(strings.NewReader(header + ask + strings.Replace(ask, "1.25s", "1s", 1)))
	fmt.Println(err)
	// Output:
	// {"name":"","seed":0,"bound":0,"delay":"0s","zones":null,"nodes":null,"models":null,"endpoints":null,"accounts":null}
	// {"at":"1.25s","kind":"ask","account":"a3","chat":"c17","model":"m1","prefix":812,"input":40,"output":64,"deadline":"2s"}
	// trace: bad format: line 3: time goes back
}

func TestReadRejects(t *testing.T) {
	cases := map[string]struct{ text, want string }{
		"empty":          {"", "line 1: header is missing"},
		"unknown kind":   {header + `{"at":"1s","kind":"dance"}`, `line 2: unknown kind "dance"`},
		"unknown field":  {header + ask + `{"at":"2s","kind":"kill","instance":"n1","who":"me"}`, `line 3: json: unknown field "who"`},
		"header field":   {`{"nope":1}`, `line 1: json: unknown field "nope"`},
		"time goes back": {header + ask + strings.Replace(ask, "1.25s", "1s", 1), "line 3: time goes back"},
		"negative time":  {header + strings.Replace(ask, "1.25s", "-1s", 1), "line 2: time goes back"},
		"bad duration":   {header + strings.Replace(ask, "1.25s", "soon", 1), "line 2:"},
		"unknown model":  {header + strings.Replace(ask, "m1", "m9", 1), `line 2: ask: unknown model "m9"`},
		"no deadline":    {header + strings.Replace(ask, `"deadline":"2s"`, `"once":true`, 1), "line 2: ask: deadline must be positive"},
		"two values":     {header + strings.TrimSpace(ask) + "{}", "line 2: text after the value"},
		"blank line":     {header + "\n" + ask, "line 2:"},
		"join without":   {header + `{"at":"1s","kind":"join","endpoint":"w2"}`, "line 2: join: zone"},
		"bound":          {strings.Replace(header, "1.5", "0.5", 1), "line 1: bound 0.5 is below 1"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := trace.Read(strings.NewReader(c.text))
			require.ErrorIs(t, err, trace.ErrFormat)
			require.ErrorContains(t, err, c.want)
		})
	}
}

func TestWriteReadRoundTrip(t *testing.T) {
	first, err := trace.Read(strings.NewReader(header + ask + `{"at":"2s","kind":"leave","endpoint":"w1"}`))
	require.NoError(t, err)
	var buf bytes.Buffer
	require.NoError(t, trace.Write(&buf, first))
	second, err := trace.Read(&buf)
	require.NoError(t, err)
	require.Equal(t, first, second)
}
