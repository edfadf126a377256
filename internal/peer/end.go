package peer

import (
	"time"

	"storj.io/drpc"
)

// cancelGrace is how long a cancelled call waits for a write in progress before
// it gives its connection up. A message takes 2 ms on a link of 20 Mbit/s; a
// node of a fifth of a core may be scheduled 100 ms later.
const cancelGrace = 100 * time.Millisecond

type (
	// ender is a stream that can end with an error.
	ender interface {
		SendError(err error) error
	}

	// endHandler ends each call itself, and reports no error of ending it.
	//
	// What goes wrong without it: a call is cancelled at the caller in the
	// moment in which its answer ends here. The library then takes the cancelled
	// call for a broken connection and closes it, while the caller has already
	// sent its next call on it. One sees "manager closed" and a reset at a call
	// that nobody cancelled. A connection that is truly broken ends by itself,
	// at its next read.
	endHandler struct {
		drpc.Handler
	}
)

// HandleRPC serves one call and ends it. Errors of ending it are dropped: they
// tell of a cancellation, or of a connection whose next read fails as well.
func (e *endHandler) HandleRPC(stream drpc.Stream, name string) error {
	err := e.Handler.HandleRPC(stream, name)
	s, ok := stream.(ender)
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
