package standin_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/endpoint"
	"bulrushhinge.example/bulrushhinge/internal/platform"
	"bulrushhinge.example/bulrushhinge/internal/standin"
)

func call(h http.Handler, method, target, body string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, target, strings.NewReader(body))
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

func chat(tokens int, text string) string {
	return fmt.Sprintf(`{"model":"m","max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, tokens, text)
}

func decode[T any](t *testing.T, w *httptest.ResponseRecorder) T {
	t.Helper()
	var value T
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &value), w.Body.String())
	return value
}

func TestEngineReusesPrefixes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := standin.NewEndpoint(standin.EndpointConfig{Prefill: time.Millisecond, Step: time.Millisecond, CacheTokens: 400})
		body := chat(1, strings.Repeat("x", 700))
		var took []time.Duration
		for range 2 {
			start := time.Now()
			require.Equal(t, http.StatusOK, call(e, "POST", "/v1/chat/completions", body, endpoint.HeaderChat, "c1").Code)
			took = append(took, time.Since(start))
		}
		require.Greater(t, took[0], 100*time.Millisecond, "a cold prompt is prefilled")
		require.Equal(t, time.Millisecond, took[1], "a cached prompt is not prefilled")
		call(e, "POST", "/v1/chat/completions", body, endpoint.HeaderChat, "c2")
		call(e, "POST", "/v1/chat/completions", body, endpoint.HeaderChat, "c3")
		require.Zero(t, e.Cached("c1"), "the oldest prefix is evicted when the cache is full")
		require.Positive(t, e.Cached("c3"))
	})
}

func TestEngineQueuesByPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := standin.NewEndpoint(standin.EndpointConfig{MaxBatch: 1})
		var mu sync.Mutex
		var order []string
		for _, priority := range []string{"0", "1", "5", "3", "5"} {
			go func() {
				call(e, "POST", "/v1/services/s/x", "{}", endpoint.HeaderPriority, priority)
				mu.Lock()
				defer mu.Unlock()
				order = append(order, priority)
			}()
			synctest.Wait()
		}
		require.Equal(t, 5, e.Running())
		time.Sleep(time.Second)
		synctest.Wait()
		require.Equal(t, []string{"0", "5", "5", "3", "1"}, order)
	})
}

func TestEngineCancelsOnDeadlineAndDisconnect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := standin.NewEndpoint(standin.EndpointConfig{})
		start := time.Now()
		require.PanicsWithValue(t, http.ErrAbortHandler, func() {
			call(e, "POST", "/v1/chat/completions", chat(1000, "x"), endpoint.HeaderDeadline, "20ms")
		}, "an incomplete answer must not look complete")
		require.Equal(t, 20*time.Millisecond, time.Since(start))
		ctx, disconnect := context.WithCancel(t.Context())
		go e.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest("POST", "/v1/chat/completions", strings.NewReader(chat(1000, "x"))).WithContext(ctx))
		synctest.Wait()
		require.Equal(t, 1, e.Running())
		disconnect()
		// A request with a broken stream keeps running for DefaultLinger.
		time.Sleep(3 * time.Second)
		synctest.Wait()
		require.Zero(t, e.Running())
	})
}

func TestEndpointLoadReportLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := standin.NewEndpoint(standin.EndpointConfig{Step: time.Second, Faults: standin.EndpointFaults{Lag: 100 * time.Millisecond}})
		load := func() int { return decode[endpoint.LoadReport](t, call(e, "GET", "/v1/load", "")).Requests }
		go call(e, "POST", "/v1/services/s/x", "{}")
		synctest.Wait()
		require.Zero(t, load())
		time.Sleep(150 * time.Millisecond)
		require.Equal(t, 1, load())
		time.Sleep(900 * time.Millisecond)
		require.Equal(t, 1, load())
		time.Sleep(200 * time.Millisecond)
		require.Zero(t, load())
	})
}

func TestEndpointEventLagAndGaps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := standin.NewEndpoint(standin.EndpointConfig{Faults: standin.EndpointFaults{EventLag: time.Second, EventGap: 2}})
		for i := range 4 {
			call(e, "POST", "/v1/chat/completions", chat(1, "x"), endpoint.HeaderChat, fmt.Sprintf("c%d", i))
		}
		read := func(after int) endpoint.CacheEvents {
			return decode[endpoint.CacheEvents](t, call(e, "GET", fmt.Sprintf("/v1/events?after=%d", after), ""))
		}
		require.Empty(t, read(0).Events)
		time.Sleep(2 * time.Second)
		events := read(0)
		require.EqualValues(t, 4, events.Last)
		require.Len(t, events.Events, 2)
		require.Equal(t, endpoint.CacheEvent{Serial: 3, Kind: endpoint.EventStore, Chat: "c2", Tokens: events.Events[1].Tokens}, events.Events[1])
		require.Empty(t, read(4).Events)
	})
}

func TestEndpointFaultsThroughAdminAPI(t *testing.T) {
	e := standin.NewEndpoint(standin.EndpointConfig{})
	require.Equal(t, http.StatusBadRequest, call(e, "PUT", "/admin/faults?nonsense=1", "").Code)
	require.Equal(t, http.StatusBadRequest, call(e, "PUT", "/admin/faults?delay=fast", "").Code)
	require.Equal(t, http.StatusNoContent, call(e, "PUT", "/admin/faults?down=true&crash=boom", "").Code)
	require.Panics(t, func() { call(e, "GET", "/v1/load", "") })
	require.Equal(t, "boom", decode[map[string]string](t, call(e, "GET", "/admin/faults", ""))["crash"])
	require.Equal(t, http.StatusNoContent, call(e, "PUT", "/admin/faults?down=false", "").Code)
	require.Panics(t, func() { call(e, "POST", "/v1/services/s/x", "boom") })
	require.Panics(t, func() { call(e, "GET", "/v1/load", "") }, "a crashed endpoint answers nothing")
	require.Equal(t, map[string]int{"boom": 1}, e.Ran())
}

func TestEndpointExportsAndImportsKV(t *testing.T) {
	from, to := standin.NewEndpoint(standin.EndpointConfig{}), standin.NewEndpoint(standin.EndpointConfig{})
	call(from, "POST", "/v1/chat/completions", chat(1, "x"), endpoint.HeaderChat, "a/c1")
	exported := call(from, "GET", "/v1/kv/a%2Fc1", "")
	require.Equal(t, http.StatusNoContent, call(to, "PUT", "/v1/kv/a%2Fc1", exported.Body.String()).Code)
	require.Equal(t, from.Cached("a/c1"), to.Cached("a/c1"))
	require.Equal(t, http.StatusNotFound, call(to, "GET", "/v1/kv/none", "").Code)
	require.Equal(t, http.StatusBadRequest, call(to, "PUT", "/v1/kv/other", exported.Body.String()).Code)
}

func TestPlatformFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.NewPlatform()
		p.Set("k", []byte("old1"))
		time.Sleep(time.Second)
		p.Set("k", []byte("new1"))
		get := func() (string, string) {
			w := call(p, "GET", "/v1/config/k", "")
			return w.Body.String(), w.Header().Get(platform.HeaderVersion)
		}
		tests := []struct {
			faults string
			want   []string
		}{
			{"half=true", []string{"ne", "ne"}},
			{"half=false&pad=1", []string{"new1\x00"}},
			{"pad=0&flip=true", []string{"new1", "old1", "new1"}},
			{"flip=false&lag=500ms", []string{"old1"}},
			{"lag=0s&down=true", []string{"down\n"}},
			{"down=false", []string{"new1"}},
		}
		for _, test := range tests {
			require.Equal(t, http.StatusNoContent, call(p, "PUT", "/admin/faults?"+test.faults, "").Code)
			for _, want := range test.want {
				got, _ := get()
				require.Equal(t, want, got, test.faults)
			}
		}
		p.SetFaults(standin.PlatformFaults{Stale: true})
		time.Sleep(time.Millisecond)
		require.Equal(t, http.StatusNoContent, call(p, "PUT", "/admin/k", "newer").Code)
		got, version := get()
		require.Equal(t, "new1", got)
		require.Equal(t, "2", version)
		require.Equal(t, http.StatusNotModified, call(p, "GET", "/v1/watch/k?after=2&wait=1s", "").Code)
		p.SetFaults(standin.PlatformFaults{})
		require.Equal(t, "newer", call(p, "GET", "/v1/watch/k?after=2&wait=1s", "").Body.String())
	})
}
