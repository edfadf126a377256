// Package caller serves the fleet's callers: chat completions, plain services and
// the list of nodes that a caller should use.
package caller

import (
	"cmp"
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"bulrushhinge.example/bulrushhinge/internal/atmostonce"
	"bulrushhinge.example/bulrushhinge/internal/dispatch"
	"bulrushhinge.example/bulrushhinge/internal/endpoint"
	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/route"
	"bulrushhinge.example/bulrushhinge/pkg/entry"
)

// Headers between callers and nodes; package entry documents them.
const (
	HeaderChat     = entry.HeaderChat
	HeaderHint     = entry.HeaderHint
	HeaderOnce     = entry.HeaderOnce
	HeaderTimeout  = entry.HeaderTimeout
	HeaderPriority = entry.HeaderPriority
	HeaderRequest  = entry.HeaderRequest
	HeaderRan      = entry.HeaderRan
	HeaderTicket   = entry.HeaderTicket
)

// Defaults of a Config.
const (
	DefaultTimeout        = 3 * time.Minute
	DefaultMaxTimeout     = 15 * time.Minute
	DefaultReadTimeout    = 30 * time.Second
	DefaultWriteTimeout   = 20 * time.Second
	DefaultMaxBody        = 4 << 20
	DefaultMaxAnswer      = 16 << 20
	DefaultMaxHeld        = 64 << 20
	DefaultMaxActive      = 8192
	DefaultMaxWaiting     = 2048
	DefaultMaxAccount     = 512
	DefaultMaxConnections = 16384

	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
)

type (
	// Dispatcher sends requests to endpoints.
	Dispatcher interface {
		Do(ctx context.Context, req route.Request, call endpoint.Call) (*dispatch.Run, error)
	}

	// Config is the settings of a Handler. Zero values select the defaults.
	Config struct {
		View       func() *kernel.View
		Dispatcher Dispatcher
		Log        logrus.FieldLogger
		// Tickets mints and redeems the tickets of this node. Relays forwards
		// requests with tickets of other nodes.
		Tickets *atmostonce.Registry
		Relays  Relayer
		// Timeout is the time limit of a request that sets none.
		Timeout time.Duration
		// MaxTimeout is the longest time limit that a request can set.
		MaxTimeout time.Duration
		// ReadTimeout limits the time to receive a request body.
		ReadTimeout time.Duration
		// WriteTimeout limits the time that a caller takes to read a piece of the
		// answer.
		WriteTimeout time.Duration
		// MaxBody is the maximum size of a request body, in bytes.
		MaxBody int64
		// MaxHeld is the maximum total size of the request bodies, unstreamed answers
		// and long events in the node's memory, in bytes. Instances have from 160 MB.
		MaxHeld int64
		// MaxAnswer is the maximum size of an unstreamed answer, in bytes.
		MaxAnswer int64
		// Active counts the requests in progress. Default: a new counter.
		Active *atomic.Int64
		// MaxActive is the maximum number of requests in progress.
		MaxActive int
		// MaxWaiting is the maximum number of requests waiting for an endpoint.
		MaxWaiting int
		// MaxAccount is the maximum number of waiting requests per client account.
		MaxAccount int
	}

	// Handler is the http.Handler for callers.
	Handler struct {
		config Config
		mux    *http.ServeMux
		slots  *slots
		// refusing is set once new requests are refused.
		refusing atomic.Bool
		// ending is canceled to abort the requests in progress.
		ending context.Context
		end    context.CancelFunc
	}
)

// New returns a Handler.
func New(c Config) *Handler {
	c = withDefaults(c)
	h := &Handler{config: c, mux: http.NewServeMux(), slots: newSlots(c)}
	h.ending, h.end = context.WithCancel(context.Background())
	h.mux.HandleFunc("POST "+entry.PathChat, h.guard(h.chat))
	h.mux.HandleFunc(entry.PathChat, notAllowed(http.MethodPost))
	h.mux.HandleFunc(entry.PathServices+"{service}/{rest...}", h.guard(h.plain))
	h.mux.HandleFunc("GET "+entry.PathEntry, h.entry)
	h.mux.HandleFunc(entry.PathEntry, notAllowed(http.MethodGet))
	h.mux.HandleFunc("GET "+entry.PathTickets+"{ticket}", h.showTicket)
	h.mux.HandleFunc("DELETE "+entry.PathTickets+"{ticket}", h.voidTicket)
	h.mux.HandleFunc(entry.PathTickets+"{ticket}", notAllowed("GET, DELETE"))
	h.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		notFound("unknown_path", r.URL.Path).write(w)
	})
	return h
}

// ServeHTTP serves one request of a caller.
//
// While the node is leaving, every answer closes its connection. Otherwise a
// caller might find the connection closed during its next request, without
// knowing whether that request ran.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.refusing.Load() || h.config.View().Leaving {
		w.Header().Set("Connection", "close")
	}
	out := &resultWriter{startedWriter: startedWriter{ResponseWriter: w}}
	defer h.recoverPanic(out, r)
	defer func() {
		logProblem(out.problem, h.config.Log.WithFields(logrus.Fields{
			"request": out.Header().Get(HeaderRequest), "path": r.URL.Path,
		}))
	}()
	w = out
	if r.Header.Get(HeaderTicket) != "" {
		w = &uncheckedWriter{ResponseWriter: out}
	}
	h.mux.ServeHTTP(w, r)
}

// Refuse refuses all further requests as not run.
func (h *Handler) Refuse() { h.refusing.Store(true) }

// End aborts all requests in progress. Streams that have started end with an error event.
func (h *Handler) End() { h.end() }

// Wait waits until no request is in progress or ctx ends.
func (h *Handler) Wait(ctx context.Context) error { return h.slots.drain(ctx) }

// NewServer returns an HTTP server for the handler with limits for slow
// connections and the size of headers.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         trackState,
	}
}

// guard limits the number of requests in progress and the time to write an
// answer. It refuses requests while the node stops.
func (h *Handler) guard(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		leave, ok := h.slots.enter()
		if !ok {
			busy(http.StatusServiceUnavailable, "the node serves too many requests").write(w)
			return
		}
		defer leave()
		if h.refusing.Load() {
			stopping().write(w)
			return
		}
		// Replace the write deadline of the previous request on the connection,
		// which must not end this one.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(h.config.MaxTimeout + h.config.WriteTimeout))
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		defer context.AfterFunc(h.ending, cancel)()
		next(w, r.WithContext(ctx))
	}
}

func withDefaults(c Config) Config {
	c.Timeout = cmp.Or(c.Timeout, DefaultTimeout)
	c.MaxTimeout = cmp.Or(c.MaxTimeout, DefaultMaxTimeout)
	c.ReadTimeout = cmp.Or(c.ReadTimeout, DefaultReadTimeout)
	c.WriteTimeout = cmp.Or(c.WriteTimeout, DefaultWriteTimeout)
	c.MaxBody = cmp.Or(c.MaxBody, DefaultMaxBody)
	c.MaxHeld = cmp.Or(c.MaxHeld, DefaultMaxHeld)
	c.MaxAnswer = cmp.Or(c.MaxAnswer, DefaultMaxAnswer)
	if c.Log == nil {
		c.Log = logrus.StandardLogger()
	}
	if c.Active == nil {
		c.Active = &atomic.Int64{}
	}
	c.MaxActive = cmp.Or(c.MaxActive, DefaultMaxActive)
	c.MaxWaiting = cmp.Or(c.MaxWaiting, DefaultMaxWaiting)
	c.MaxAccount = cmp.Or(c.MaxAccount, DefaultMaxAccount)
	return c
}
