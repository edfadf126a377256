package main_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

const explained = `{"node":"n1","outcome":"sent","version":7,"confirmed_ms":20,"reached":true,"service":"engine","endpoints":2,
	"route":{"name":"chat","prefix":"/chat/","objective_ms":600,"timeout_ms":15000},"account":{"name":"acct","priority":1},
	"choice":{"chosen":"e1","source":"e2","mean":2.5,"bound":6.4,"candidates_total":40,"candidates":[
		{"endpoint":"e1","chosen":true,"load":3,"own":1,"others":2,"reported":3,"slots":16,"rank":1,"holds":true,"prefill":900,"prefill_ms":45},
		{"endpoint":"e2","load":20,"own":0,"others":20,"reported":0,"slots":16,"rank":2,"suspect":true,"blocked":[{"reason":"full"},{"reason":"backoff","left_ms":30}]}]},
	"queue":{"order":"shares","waiting":4,"waiting_of_kind":3,"may_try":false,"position":4,"expected_wait_ms":12.5,"may_wait_ms":400}}`

// TestExplainCommand guards against a table that omits what decides, a query that
// lacks what was asked, and a node without an answer that goes unnoticed.
func TestExplainCommand(t *testing.T) {
	var query atomic.Value
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		query.Store(r.URL.Path + "?" + r.URL.RawQuery)
		if r.URL.Query().Get("zone") == "z9" {
			http.Error(w, "zone: the settings name no zone", http.StatusBadRequest)
			return
		}
		_, _ = w.Write([]byte(explained))
	}))
	defer node.Close()
	addr := node.Listener.Addr().String()
	usual := []string{"explain", "--node", addr, "--host=h", "--path=/chat/x?y=1", "--method=POST", "--account=acct", "--prompt=doc:500,q:20", "--tokens=520", "--deadline=1500ms"}

	code, out, errs := run(t, nil, usual...)
	require.Zero(t, code, errs)
	require.Equal(t, "/explain?account=acct&deadline=1.5s&host=h&method=POST&path=%2Fchat%2Fx%3Fy%3D1&prompt=doc%3A500%2Cq%3A20&tokens=520", query.Load())
	for _, want := range []string{
		`node .* n1`, `outcome .* sent`, `version 7, confirmed 20ms ago`, `chat \(/chat/\)`, `acct, priority 1`, `engine, 2 endpoints`, `chosen .* e1`, `cached parts from .* e2`,
		`bound .* 6.4`, `2 of 40 shown`, `number 4, for at most 400ms, expected wait 12.5ms`, `e1 .* yes .* 3 .* 1 and 2 .* 3 .* 16 .* 1 .* yes .* 900 .* 45ms`,
		`e2 .* suspect, blocked: full, blocked: backoff for 30ms`,
	} {
		require.Regexp(t, want, out)
	}

	code, out, _ = run(t, nil, append(usual, "--json")...)
	require.Zero(t, code)
	require.Equal(t, explained+"\n", out)

	code, out, errs = run(t, nil, append(usual, "--node", "127.0.0.1:1")...)
	require.NotZero(t, code)
	require.Contains(t, errs, "127.0.0.1:1: explain: the node did not answer")
	require.Contains(t, out, "e1")

	code, _, errs = run(t, nil, append(usual, "--zone=z9")...)
	require.NotZero(t, code)
	require.Contains(t, errs, "400 Bad Request: zone: the settings name no zone")
}

// TestExplainReportsEveryInvalidSetting guards against a command that names only the
// first of several mistakes.
func TestExplainReportsEveryInvalidSetting(t *testing.T) {
	code, _, errs := run(t, nil, "explain", "--tokens=many", "--deadline=-1s")
	require.Equal(t, 2, code)
	for _, want := range []string{"--node", "--host", "--tokens", "--deadline"} {
		require.True(t, strings.Contains(errs, want), want)
	}
}
