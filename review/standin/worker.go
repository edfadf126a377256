package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// crashBody is the body of requests that crash each worker that begins to run them.
const crashBody = "crash"

type (
	// worker is a stand-in for a server. Its answers are events on paths under
	// /stream/ and lines on all others; the path's last element says how many parts an
	// answer has.
	worker struct {
		id    string
		slots int
		// unframed is how many answers there are for each that has neither a length nor
		// chunks; with 0, all have chunks.
		unframed int64
		pause    time.Duration
		running  atomic.Int64
		answers  atomic.Int64
		// silentUntil is until when it is silent, in Unix milliseconds.
		silentUntil atomic.Int64
	}
)

// runWorker serves requests until the process is ended. It writes a line for each
// event to standard output.
func runWorker(args []string) error {
	f := flag.NewFlagSet("worker", flag.ExitOnError)
	id := f.String("id", "", "the worker's id")
	addr := f.String("addr", "", "the listen address")
	slots := f.Int("slots", 64, "requests at once")
	unframed := f.Int64("unframed", 0, "one answer in this many has neither a length nor chunks; 0 for none")
	pause := f.Duration("pause", 100*time.Millisecond, "the time between two parts of an answer")
	_ = f.Parse(args)
	l, err := net.Listen("tcp4", *addr)
	if err != nil {
		return err
	}
	w := &worker{id: *id, slots: *slots, unframed: *unframed, pause: *pause}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	go func() {
		for range signals {
			w.silentUntil.Store(time.Now().Add(silentFor).UnixMilli())
		}
	}()
	fmt.Println("listening", l.Addr())
	return (&http.Server{Handler: w}).Serve(l)
}

// parts returns the parts of the whole answer to a request.
func parts(id, path string) []string {
	n, err := strconv.Atoi(path[strings.LastIndex(path, "/")+1:])
	if err != nil || n < 1 {
		n = 1
	}
	list := make([]string, n)
	for i := range list {
		if strings.HasPrefix(path, "/stream/") {
			list[i] = fmt.Sprintf("id: %d\ndata: part %d of the answer to %s\n\n", i+1, i+1, id)
		} else {
			list[i] = fmt.Sprintf("part %d of the answer to %s\n", i+1, id)
		}
	}
	return list
}

func digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:8])
}

// ServeHTTP serves one request.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	h := out.Header()
	h.Set("X-Instance-Id", w.id)
	h.Set("X-Server-Load", fmt.Sprintf("%d,0,%d", w.running.Load(), w.slots))
	if r.URL.Path == "/health" {
		return
	}
	id := r.Header.Get("X-Request-Id")
	h.Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if strings.HasPrefix(r.URL.Path, "/bulrushhinge/") {
		out.WriteHeader(http.StatusNotFound)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if w.running.Add(1) > int64(w.slots) {
		w.running.Add(-1)
		h.Set("X-Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer w.running.Add(-1)
	w.log("run", id, "line=%q host=%q path=%q body=%s deadline=%s tenant=%s key=%q last=%q", r.Method+" "+r.RequestURI, r.Host, r.URL.Path, digest(string(body)),
		r.Header.Get("X-Deadline-Ms"), r.Header.Get("X-Tenant"), r.Header.Get("X-Key"), r.Header.Get("Last-Event-Id"))
	if string(body) == crashBody {
		w.log("crash", id, "")
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
		select {}
	}
	all := parts(id, r.URL.Path)
	h.Set("X-Server-Seal", digest(strings.Join(all, "")))
	if strings.HasPrefix(r.URL.Path, "/stream/") {
		h.Set("Content-Type", "text/event-stream")
	} else {
		h.Set("Content-Type", "text/plain")
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err := w.answer(out, r, all[min(after, len(all)):]); err != nil {
		w.log("broken", id, "%v", err)
		return
	}
	w.log("done", id, "")
}

// answer sends the parts of an answer, with pauses in between.
func (w *worker) answer(out http.ResponseWriter, r *http.Request, list []string) error {
	if w.unframed == 0 || w.answers.Add(1)%w.unframed != 0 {
		control := http.NewResponseController(out)
		for _, part := range list {
			if !w.work(r) {
				return r.Context().Err()
			}
			if _, err := io.WriteString(out, part); err != nil {
				return err
			}
			if err := control.Flush(); err != nil {
				return err
			}
		}
		return nil
	}
	w.log("unframed", r.Header.Get("X-Request-Id"), "")
	conn, buffer, err := http.NewResponseController(out).Hijack()
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	head := out.Header().Clone()
	head.Set("Connection", "close")
	if err := writeHead(buffer.Writer, head); err != nil {
		return err
	}
	for _, part := range list {
		time.Sleep(w.pause)
		if _, err := buffer.WriteString(part); err != nil {
			return err
		}
		if err := buffer.Flush(); err != nil {
			return err
		}
	}
	return nil
}

func writeHead(to *bufio.Writer, head http.Header) error {
	if _, err := to.WriteString("HTTP/1.1 200 OK\r\n"); err != nil {
		return err
	}
	if err := head.Write(to); err != nil {
		return err
	}
	if _, err := to.WriteString("\r\n"); err != nil {
		return err
	}
	return to.Flush()
}

// work waits until the next part is made, and reports false if its caller has left.
func (w *worker) work(r *http.Request) bool {
	for wait := w.pause; wait > 0; wait = time.Until(time.UnixMilli(w.silentUntil.Load())) {
		select {
		case <-time.After(wait):
		case <-r.Context().Done():
			return false
		}
	}
	return true
}

func (w *worker) log(event, id, format string, args ...any) {
	_, _ = fmt.Fprintf(os.Stdout, "%s %s %s\n", event, id, fmt.Sprintf(format, args...))
}
