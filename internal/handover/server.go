package handover

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"

	"storj.io/drpc"
	"storj.io/drpc/drpcserver"

	"bulrushhinge.example/bulrushhinge/internal/cborcodec"
)

type (
	// Handler serves requests that other nodes hand over.
	Handler interface {
		// Take returns why this node does not take a request, "" if it does. Release
		// must follow if it does.
		Take(o *Offer) (reason string)
		Release(o *Offer)
		// Hand serves a request. It panics with http.ErrAbortHandler to break off the
		// response.
		Hand(ctx context.Context, o *Offer, body []byte, w *Writer)
	}

	// Server answers other nodes' calls.
	Server struct {
		handler Handler
		cancel  context.CancelFunc
		running sync.WaitGroup
	}

	// Writer writes the response of a request that another node has handed over. It
	// is an http.ResponseWriter that can be flushed.
	Writer struct {
		stream drpc.Stream
		header http.Header
		frame  Frame
		wrote  bool
		err    error
	}
)

// NewServer serves the calls that arrive at a listener, which it closes.
func NewServer(l net.Listener, h Handler) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{handler: h, cancel: cancel}
	s.running.Go(func() {
		// Serve returns when its context is canceled.
		_ = drpcserver.New(s).Serve(ctx, l)
	})
	return s
}

// Close ends all calls.
func (s *Server) Close() {
	s.cancel()
	s.running.Wait()
}

// HandleRPC implements drpc.Handler.
func (s *Server) HandleRPC(stream drpc.Stream, rpc string) error {
	if rpc != handRPC {
		return fmt.Errorf("%w: call %q", ErrMessage, rpc)
	}
	o := &Offer{}
	if err := stream.MsgRecv(o, cborcodec.Codec{}); err != nil {
		return err
	}
	reason := s.handler.Take(o)
	if reason == "" {
		defer s.handler.Release(o)
	}
	if err := stream.MsgSend(&answer{Reason: reason}, cborcodec.Codec{}); err != nil || reason != "" {
		return err
	}
	body, err := readBody(stream, o.Size)
	if err != nil {
		return err
	}
	return s.hand(stream, o, body)
}

// readBody reads a body of a size. Without its last part, nothing may run.
func readBody(stream drpc.Stream, size int64) ([]byte, error) {
	var body []byte
	for {
		var p part
		if err := stream.MsgRecv(&p, cborcodec.Codec{}); err != nil {
			return nil, err
		}
		if body == nil {
			// Most bodies are one part, which needs no copy.
			body = p.Data
		} else {
			body = append(body, p.Data...)
		}
		switch {
		case int64(len(body)) > size, p.Last && int64(len(body)) < size:
			return nil, fmt.Errorf("%w: a body of %d bytes, not %d", ErrMessage, len(body), size)
		case p.Last:
			return body, nil
		}
	}
}

func (s *Server) hand(stream drpc.Stream, o *Offer, body []byte) (err error) {
	w := &Writer{stream: stream, header: http.Header{}, wrote: o.Progress.Started}
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", ErrBroken, p)
		}
	}()
	s.handler.Hand(stream.Context(), o, body, w)
	if w.frame.Refusal == nil {
		w.frame.End = true
	}
	return w.send()
}

// Header implements http.ResponseWriter.
func (w *Writer) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter. An invalid status breaks the response
// off.
func (w *Writer) WriteHeader(status int) {
	if !w.wrote {
		w.wrote = true
		if !isStatus(status) && w.err == nil {
			w.err = fmt.Errorf("%w: status %d", ErrMessage, status)
		}
		w.frame.Status, w.frame.Header = status, w.header.Clone()
	}
}

// Write implements http.ResponseWriter. What is written at once is sent as a whole, so
// that a stream's events are never cut: once there is enough of it, or with Flush.
func (w *Writer) Write(data []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	w.frame.Data = append(w.frame.Data, data...)
	if len(w.frame.Data) >= partBytes {
		if err := w.send(); err != nil {
			return 0, err
		}
	}
	return len(data), w.err
}

// FlushError sends what was written.
func (w *Writer) FlushError() error {
	if w.frame.Status == 0 && len(w.frame.Data) == 0 {
		return w.err
	}
	return w.send()
}

// SetEvents sets the newest event that was written, and the number of all.
func (w *Writer) SetEvents(last uint64, events int) { w.frame.LastEvent, w.frame.Events = last, events }

// Refuse ends the request without a response, or within one.
func (w *Writer) Refuse(r Refusal) { w.frame.Refusal = &r }

func (w *Writer) send() error {
	if w.err == nil {
		w.err = w.stream.MsgSend(&w.frame, cborcodec.Codec{})
	}
	w.frame = Frame{LastEvent: w.frame.LastEvent, Events: w.frame.Events, Data: w.frame.Data[:0]}
	return w.err
}
