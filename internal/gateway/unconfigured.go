package gateway

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

// What a node hears of others.
const (
	// PeersServe says that another node takes callers.
	PeersServe Peers = iota
	// PeersStart says that there are others, and that none of them knows a
	// configuration.
	PeersStart
	// PeersSilent says that the node hears of no other.
	PeersSilent
)

const (
	// configWait is how long a request waits for the first configuration where
	// other nodes serve: one that has just started reads it within milliseconds.
	configWait = 50 * time.Millisecond
	// startShare is the part of its caller's time for which it waits where no node
	// of the fleet knows one.
	startShare = 0.25
	// maxEarly bounds a body that is read before the configuration is known.
	maxEarly = 1 << 20
)

// Peers is what a node hears of others.
type Peers int

// awaitConfig returns the configuration, or nil if none is known in time.
//
// After all nodes were killed while the store is away, each of them knows that it
// lives, and nothing else. Were callers refused then, those that have come back
// once already would be lost, and the others would come back to the same refusal.
// Those whose time allows it wait for the store; a node that alone knows nothing
// sends them elsewhere.
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
	patience := time.NewTimer(c.configPatience())
	defer patience.Stop()
	select {
	case <-d.Configured():
	case <-patience.C:
	case <-c.in.Context().Done():
	}
	return d.Snapshot().Config
}

// configPatience is how long a request waits for the first configuration. Once it
// waits, it is no matter that others have found one: this node will be told.
func (c *call) configPatience() time.Duration {
	if c.peers() == PeersStart {
		return max(time.Duration(startShare*float64(c.asked())), configWait)
	}
	return configWait
}

func (c *call) peers() Peers {
	if c.handler.config.Peers == nil {
		return PeersServe
	}
	return c.handler.config.Peers()
}

// readEarly takes the body of a request that is to wait: callers leave a node that
// does not read. It reports whether it could; the body counts as held until it is
// released.
func (c *call) readEarly() (release func(), ok bool) {
	h := c.handler
	size := c.in.ContentLength
	if size < 0 {
		size = maxEarly
	}
	release = func() { h.held.Add(-size) }
	if held := h.held.Add(size); held > maxHeld || size > maxEarly {
		return release, false
	}
	control := http.NewResponseController(c.out)
	// What cannot set deadlines is no connection, and needs none.
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(c.out, c.in.Body, maxEarly))
	_ = control.SetReadDeadline(time.Time{})
	if err != nil {
		return release, false
	}
	c.in.Body = io.NopCloser(bytes.NewReader(body))
	return release, true
}

// unconfigured refuses a request that comes before the first configuration.
//
// Where other nodes serve, the caller finds one of them soon. Else nobody knows
// for how long, and callers come back once or twice: so they come back as late as
// they are willing to.
func (c *call) unconfigured() *refusal {
	if c.peers() == PeersServe {
		return notRun(reasonNoConfig, retrySoon)
	}
	left := c.asked() - time.Since(c.started)
	return notRun(reasonNoConfig, max(time.Duration(returnLatest*float64(left)), retryLater))
}
