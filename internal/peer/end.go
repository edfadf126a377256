package peer

import (
	"time"

	"storj.io/drpc"
)

// cancelGrace is how long a cancelled call waits for a write in progress before its
// connection is closed. A message takes 2 ms on a 20 Mbit/s link; a node with a
// fifth of a core may be scheduled 100 ms later.
const cancelGrace = 100 * time.Millisecond

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
	endHandler struct {
		drpc.Handler
	}
)

// HandleRPC serves one call and ends it. Errors of ending it are ignored: they mean
// a cancellation, or a broken connection whose next read fails too.
func (e *endHandler) HandleRPC(stream drpc.Stream, name string) error {
	err := e.Handler.HandleRPC(stream, name)
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
