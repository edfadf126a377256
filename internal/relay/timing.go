package relay

import "time"

const (
	// baseStep is the step of a fleet of up to stepNodes. Each further node adds
	// stepPerNode up to maxStep, as the loads of more endpoints make summaries
	// larger. An update takes at most three steps: to the relay, to the other
	// relays, to their followers.
	baseStep    = 130 * time.Millisecond
	stepNodes   = 200
	stepPerNode = 800 * time.Microsecond
	maxStep     = 300 * time.Millisecond

	// The timeouts of a small fleet.
	minResponse = 450 * time.Millisecond
	minLost     = 650 * time.Millisecond
	minSettle   = 900 * time.Millisecond
	minZoneLost = 1500 * time.Millisecond
	minValid    = time.Second

	// The timeouts of a large fleet, in steps. One in forty datagrams is lost, so
	// a timeout of one or two steps would expire for many live nodes.
	responseSteps = 3
	lostSteps     = 3.5
	settleSteps   = 6
	zoneLostSteps = 7
	validSteps    = 4
)

// Timing is the period and the timeouts of a fleet of some size. Each timeout spans
// several periods.
type Timing struct {
	// Step is the time between two calls of Node.Step.
	Step time.Duration
	// Response is how long a contacted relay may be unresponsive until it is
	// skipped.
	Response time.Duration
	// Lost is how long a node that reported may be unreachable until it is lost. A
	// live node is affected only if all its reports of that time, to each of two
	// relays, were lost.
	Lost time.Duration
	// Settle is how long a relay waits for the nodes of its zone to report before it
	// declares those that never did lost: they all choose another relay within
	// Response of the same death.
	Settle time.Duration
	// ZoneLost is how long no relay of a zone may be heard from until the zone's
	// nodes are lost: others take over before then, if any node lives.
	ZoneLost time.Duration
	// Valid is how long a summary is used after it was received.
	Valid time.Duration
}

// NewTiming returns the Timing of a fleet with a number of nodes, including
// unreachable ones.
func NewTiming(nodes int) Timing {
	step := min(baseStep+time.Duration(max(nodes-stepNodes, 0))*stepPerNode, maxStep)
	return Timing{
		Step:     step,
		Response: max(minResponse, responseSteps*step),
		Lost:     max(minLost, time.Duration(lostSteps*float64(step))),
		Settle:   max(minSettle, settleSteps*step),
		ZoneLost: max(minZoneLost, zoneLostSteps*step),
		Valid:    max(minValid, validSteps*step),
	}
}
