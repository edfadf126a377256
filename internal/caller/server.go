// Package caller serves the fleet's callers: chat completions, plain services
// and the entry answer that says which nodes to use.
package caller

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"bulrushhinge.example/bulrushhinge/internal/dispatch"
	"bulrushhinge.example/bulrushhinge/internal/endpoint"
	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/once"
	"bulrushhinge.example/bulrushhinge/internal/route"
)

// Headers between callers and nodes.
const (
	// HeaderChat names the caller's chat.
	HeaderChat = "X-Chat"
	// HeaderHint carries the chat's hint, both ways.
	HeaderHint = "X-Hint"
	// HeaderOnce marks a request that must not be repeated.
	HeaderOnce = "X-Once"
	// HeaderTimeout is how long the caller waits, as a Go duration.
	HeaderTimeout = "X-Timeout"
	// HeaderPriority orders the account's requests; higher goes first.
	HeaderPriority = "X-Priority"
	// HeaderRequest names the request in logs and decision traces.
	HeaderRequest = "X-Request-Id"
)

// Defaults of a Config.
const (
	DefaultTimeout  = 60 * time.Second
	DefaultMaxBody  = 4 << 20
	readHeaderLimit = 10 * time.Second
	maxHeaderBytes  = 64 << 10
)

type (
	// Dispatcher carries requests to endpoints.
	Dispatcher interface {
		Do(ctx context.Context, req route.Request, call endpoint.Call) (*dispatch.Run, error)
	}

	// Config is the settings of a Handler.
	Config struct {
		View       func() *kernel.View
		Dispatcher Dispatcher
		Log        logrus.FieldLogger
		// Tickets mints and redeems tickets, and Relays reaches the nodes that
		// minted others.
		Tickets *once.Registry
		Relays  Relayer
		// Timeout is the deadline of a request that names none.
		Timeout time.Duration
		// MaxBody is the size of the largest request body, in bytes.
		MaxBody int64
	}

	// Handler is the http.Handler for callers.
	Handler struct {
		config Config
		mux    *http.ServeMux
	}
)

// New returns a Handler. Zero settings take their defaults.
func New(c Config) *Handler {
	if c.Timeout == 0 {
		c.Timeout = DefaultTimeout
	}
	if c.MaxBody == 0 {
		c.MaxBody = DefaultMaxBody
	}
	h := &Handler{config: c, mux: http.NewServeMux()}
	h.mux.HandleFunc("POST /v1/chat/completions", h.chat)
	h.mux.HandleFunc("/v1/services/{service}/{rest...}", h.plain)
	h.mux.HandleFunc("GET /v1/entry", h.entry)
	h.mux.HandleFunc("GET /v1/tickets/{ticket}", h.showTicket)
	h.mux.HandleFunc("DELETE /v1/tickets/{ticket}", h.voidTicket)
	return h
}

// ServeHTTP serves one request of a caller.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// NewServer returns an HTTP server for the handler with limits on slow and
// oversized requests.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderLimit,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

func (h *Handler) body(w http.ResponseWriter, r *http.Request) ([]byte, *problem) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.config.MaxBody))
	if err != nil {
		return nil, badRequest(err)
	}
	return data, nil
}
