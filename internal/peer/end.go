package peer

import (
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"
	"storj.io/drpc"

	"bulrushhinge.example/bulrushhinge/internal/panics"
)

// cancelGrace is how long a cancelled call waits for a write in progress before its
// connection is closed. A message takes 2 ms on a 20 Mbit/s link; a node with a
// fifth of a core may be scheduled 100 ms later.
const cancelGrace = 100 * time.Millisecond

var errPanic = errors.New("peer: panic")

type (
	// errorSender is a stream that can end with an error.
	errorSender interface {
		SendError(err error) error
	}

	// endHandler ends each call itself, and ignores errors of doing so.
	//
	// Without it, a call that the client cancels while the server ends the reply
	// makes the library treat the connection as broken and close it, although the
	// client has already sent its next call on it. That call, which nobody
	// cancelled, fails with "manager closed" or a reset. A connection that is
	// really broken fails at its next read.
	//
	// It also recovers panics, which would end the process with all requests in
	// progress: the library runs calls in goroutines of its own.
	endHandler struct {
		drpc.Handler
		log logrus.FieldLogger
	}
)

// HandleRPC serves one call and ends it. Errors of ending it are ignored: they mean
// a cancellation, or a broken connection whose next read fails too.
func (e *endHandler) HandleRPC(stream drpc.Stream, name string) error {
	err := e.handle(stream, name)
	s, ok := stream.(errorSender)
	switch {
	case err == nil:
		_ = stream.CloseSend()
	case ok:
		_ = s.SendError(err)
	default:
		return err
	}
	return nil
}

func (e *endHandler) handle(stream drpc.Stream, name string) (err error) {
	defer func() {
		if value := recover(); value != nil {
			panics.Report(e.log.WithField("call", name), value)
			err = fmt.Errorf("%w: %s", errPanic, name)
		}
	}()
	return e.Handler.HandleRPC(stream, name)
}
