package gateway

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

// States of the other nodes, as far as this node knows.
const (
	// PeersServing means that another node serves callers.
	PeersServing PeerState = iota
	// PeersStarting means that there are other nodes, but none of them has a
	// configuration.
	PeersStarting
	// PeersNone means that no other node is known to be alive.
	PeersNone
)

const (
	// minConfigWait is how long a request waits for the first configuration if
	// other nodes serve: a node that has just started reads it within milliseconds.
	minConfigWait = 50 * time.Millisecond
	// configWaitShare is the share of its caller's timeout for which it waits if no
	// node of the fleet has one.
	configWaitShare = 0.25
	// maxEarlyBody bounds a body that is read before the configuration is known.
	maxEarlyBody = 1 << 20
)

// PeerState is the state of the other nodes, as far as this node knows.
type PeerState int

// awaitConfig returns the configuration, or nil if none is known in time.
//
// If all nodes are killed while the store is unavailable, they restart without a
// configuration. Were callers refused then, those that have retried once already
// would be lost, and the others would retry into the same refusal. Those with
// enough time wait for the store; if only this node has no configuration, it sends
// them elsewhere.
func (c *call) awaitConfig() *deployment.Config {
	d := c.handler.config.Deployment
	if config := d.Snapshot().Config; config != nil {
		return config
	}
	release, ok := c.readEarly()
	defer release()
	if !ok {
		return nil
	}
	timer := time.NewTimer(c.configTimeout())
	defer timer.Stop()
	select {
	case <-d.Configured():
	case <-timer.C:
	case <-c.in.Context().Done():
	}
	return d.Snapshot().Config
}

// configTimeout returns how long a request waits for the first configuration. The
// wait is not shortened if other nodes find one, as this node will then get it too.
func (c *call) configTimeout() time.Duration {
	if c.peers() == PeersStarting {
		return max(time.Duration(configWaitShare*float64(c.callerTimeout())), minConfigWait)
	}
	return minConfigWait
}

func (c *call) peers() PeerState {
	if c.handler.config.Peers == nil {
		return PeersServing
	}
	return c.handler.config.Peers()
}

// readEarly reads the body of a request that is to wait: callers leave a node that
// does not read. It reports whether it succeeded; the body counts as held until
// release is called.
func (c *call) readEarly() (release func(), ok bool) {
	h := c.handler
	size := c.in.ContentLength
	if size < 0 {
		size = maxEarlyBody
	}
	release = func() { h.heldBytes.Add(-size) }
	if held := h.heldBytes.Add(size); held > maxHeldBytes || size > maxEarlyBody {
		return release, false
	}
	control := http.NewResponseController(c.out)
	// A writer that cannot set deadlines is no connection, and needs none.
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(c.out, c.in.Body, maxEarlyBody))
	_ = control.SetReadDeadline(time.Time{})
	if err != nil {
		return release, false
	}
	c.in.Body = io.NopCloser(bytes.NewReader(body))
	return release, true
}

// unconfigured refuses a request that arrives before the first configuration.
//
// If other nodes serve, the caller soon finds one of them. Otherwise the length of
// the outage is unknown and callers retry only once or twice, so they are asked to
// retry as late as they are willing to.
func (c *call) unconfigured() *refusal {
	if c.peers() == PeersServing {
		return notRun(reasonNoConfig, retrySoon)
	}
	left := c.callerTimeout() - time.Since(c.started)
	return notRun(reasonNoConfig, max(time.Duration(maxRetryShare*float64(left)), retryLater))
}
