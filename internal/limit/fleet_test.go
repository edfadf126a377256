package limit_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/builtin"
	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/limit"
	"bulrushhinge.example/bulrushhinge/pkg/manifest"
)

const (
	accountRate    = 10000.0
	requestSize    = 100
	requestTimeout = 2 * time.Second
)

type (
	node struct {
		*kernel.Kernel
		limiter *limit.Limiter
		waiting []*request
	}

	request struct {
		entry   *limit.Entry
		account string
		arrived time.Time
		until   time.Time
	}

	// fleet is 8 kernels in one cell that admit requests in virtual time.
	fleet struct {
		now   time.Time
		rand  *rand.Rand
		nodes []*node
		names map[string]*node
		cut   func(a, b string) bool
		// admitted is in tokens; delays is the longest wait of an admitted request.
		// late counts refusals at or after the request's deadline.
		admitted map[string]float64
		delays   map[string]time.Duration
		refused  map[string]int
		late     int
	}
)

func newFleet(accounts ...string) *fleet {
	const nodes = 8
	f := &fleet{
		now: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(1, 1)), names: map[string]*node{},
		cut: func(string, string) bool { return false },
	}
	m := &manifest.Manifest{Revision: 1, Zones: []manifest.Zone{{Name: "z", Region: "r"}}}
	for _, a := range accounts {
		m.Accounts = append(m.Accounts, manifest.Account{Name: a, Rate: accountRate, Burst: accountRate})
	}
	var list []kernel.Instance
	for i := range nodes {
		addr := netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:1", i+1))
		list = append(list, kernel.Instance{Name: fmt.Sprintf("n%d", i), Kind: kernel.KindNode, Zone: "z", Addr: addr, Peer: addr})
	}
	for i := range list {
		n := &node{limiter: limit.NewLimiter(limit.LimiterConfig{})}
		n.Kernel, _ = builtin.New(
			kernel.Node{Name: list[i].Name, Zone: "z", Incarnation: uint64(i + 1)},
			builtin.Config{Limit: limit.Config{Limiter: n.limiter}},
		)
		f.nodes = append(f.nodes, n)
		f.names[list[i].Name] = n
		f.step(n, kernel.Accepted{Manifest: m})
		f.step(n, kernel.Instances{Version: 1, List: list})
	}
	f.resetCounts()
	f.run(3*time.Second, nil)
	return f
}

func (f *fleet) resetCounts() {
	f.admitted, f.delays, f.refused = map[string]float64{}, map[string]time.Duration{}, map[string]int{}
}

func (f *fleet) step(n *node, ev kernel.Event) {
	for _, a := range n.Step(f.now, ev) {
		send, ok := a.(kernel.SendHeartbeat)
		if !ok {
			continue
		}
		peer := f.names[send.To.Name]
		beat := n.Beat(f.now, send.To.Name)
		if peer == nil || f.cut(n.Self().Name, send.To.Name) {
			f.step(n, kernel.HeartbeatFailed{Node: send.To.Name})
			continue
		}
		f.step(peer, kernel.HeartbeatReceived{Heartbeat: beat})
		f.step(n, kernel.HeartbeatReceived{Heartbeat: peer.Beat(f.now, n.Self().Name)})
	}
}

// run advances time while accounts request the given tokens per second of the whole
// fleet.
func (f *fleet) run(d time.Duration, demand map[string]float64) {
	due := map[string]float64{}
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(10 * time.Millisecond)
		for _, account := range sorted(demand) {
			due[account] += demand[account] * 0.01 / requestSize
			for ; due[account] >= 1; due[account]-- {
				f.ask(f.nodes[f.rand.IntN(len(f.nodes))], account)
			}
		}
		for _, n := range f.nodes {
			if f.now.UnixMilli()%kernel.DefaultTick.Milliseconds() == 0 {
				f.step(n, kernel.Tick{})
			}
			f.poll(n)
		}
	}
}

func (f *fleet) ask(n *node, account string) {
	entry := n.limiter.Enqueue(f.now, limit.Request{Account: account, Tokens: requestSize, Deadline: f.now.Add(requestTimeout)})
	n.waiting = append(n.waiting, &request{entry: entry, account: account, arrived: f.now})
}

func (f *fleet) poll(n *node) {
	var still []*request
	for _, r := range n.waiting {
		if !r.due(f.now) {
			still = append(still, r)
			continue
		}
		waited := f.now.Sub(r.arrived)
		step := r.entry.Poll(f.now)
		switch step.Kind {
		case limit.StepAdmit:
			f.admitted[r.account] += requestSize
			f.delays[r.account] = max(f.delays[r.account], waited)
		case limit.StepRefuse:
			f.refused[r.account]++
			if waited >= requestTimeout {
				f.late++
			}
		default:
			r.until = step.Until
			still = append(still, r)
		}
	}
	n.waiting = still
}

// due reports whether it is time to poll.
func (r *request) due(now time.Time) bool {
	select {
	case <-r.entry.Wake():
		return true
	default:
		return !now.Before(r.until)
	}
}

func sorted(demand map[string]float64) []string {
	var names []string
	for _, name := range []string{"calm", "surge"} {
		if _, ok := demand[name]; ok {
			names = append(names, name)
		}
	}
	return names
}

// Guards against a surging account that delays all others, or that gets many times
// its rate because each node admits the whole rate.
func TestSurgingAccountDelaysOnlyItself(t *testing.T) {
	f := newFleet("calm", "surge")
	f.run(10*time.Second, map[string]float64{"calm": 5000, "surge": 5000})
	require.Zero(t, f.refused["surge"]+f.refused["calm"])
	f.resetCounts()
	const seconds = 20
	f.run(seconds*time.Second, map[string]float64{"calm": 5000, "surge": 10 * accountRate})
	rate := f.admitted["surge"] / seconds / accountRate
	t.Logf("surge: %.3f of its rate, %d refused; calm: longest wait %v, %d refused",
		rate, f.refused["surge"], f.delays["calm"], f.refused["calm"])
	require.InDelta(t, 1, rate, 0.10, "the burst is 0.05 of the span")
	require.Zero(t, f.refused["calm"])
	require.Less(t, f.delays["calm"], 100*time.Millisecond)
	require.Positive(t, f.refused["surge"])
	require.Zero(t, f.late, "requests are refused before their deadline")
}

// Guards against an account that gets its rate twice in a network partition.
func TestPartitionDoesNotDoubleARate(t *testing.T) {
	f := newFleet("surge")
	half := func(name string) bool { return name < "n4" }
	f.cut = func(a, b string) bool { return half(a) != half(b) }
	f.run(10*time.Second, map[string]float64{"surge": accountRate})
	f.resetCounts()
	const seconds = 20
	f.run(seconds*time.Second, map[string]float64{"surge": 10 * accountRate})
	rate := f.admitted["surge"] / seconds / accountRate
	t.Logf("surge in a fleet partitioned in halves: %.3f of its rate", rate)
	require.InDelta(t, 1, rate, 0.10)
}

// Guards against an account that gets an eighth of its rate because all its callers
// use one of eight nodes.
func TestSingleNodeGetsWholeRate(t *testing.T) {
	f := newFleet("surge")
	f.nodes = f.nodes[:1]
	run := func(d time.Duration) {
		for end := f.now.Add(d); f.now.Before(end); {
			f.run(10*time.Millisecond, nil)
			f.ask(f.nodes[0], "surge")
		}
	}
	// The other nodes still answer heartbeats.
	run(5 * time.Second)
	f.resetCounts()
	run(10 * time.Second)
	require.InDelta(t, 1, f.admitted["surge"]/10/accountRate, 0.05)
}

func TestPriorityAndDeadlineWithinAnAccount(t *testing.T) {
	now := time.Unix(1000, 0)
	l := limit.NewLimiter(limit.LimiterConfig{MaxPerAccount: 3})
	share := map[string]limit.Share{"a": {Rate: 100, Burst: 100}}
	l.SetShares(now, share, share)
	offer := func(priority int, deadline time.Duration) *limit.Entry {
		return l.Enqueue(now, limit.Request{Account: "a", Tokens: 100, Priority: priority, Deadline: now.Add(deadline)})
	}
	first := offer(0, time.Minute)
	require.Equal(t, limit.StepAdmit, first.Poll(now).Kind)
	second := offer(0, 1500*time.Millisecond)
	require.Equal(t, now.Add(time.Second), second.Poll(now).Until)
	impatient := offer(0, time.Second)
	step := impatient.Poll(now)
	require.Equal(t, limit.StepWait, step.Kind, "the earlier deadline goes first")
	require.Equal(t, limit.StepRefuse, second.Poll(now).Kind, "at once, not at its deadline")
	require.Equal(t, 2*time.Second, second.Poll(now).RetryAfter)
	urgent := offer(5, 10*time.Second)
	require.Equal(t, now.Add(time.Second), urgent.Poll(now).Until, "higher priority goes first")
	require.Equal(t, limit.StepRefuse, impatient.Poll(now).Kind)
	for range 2 {
		offer(0, time.Hour)
	}
	require.Equal(t, limit.StepRefuse, offer(0, time.Hour).Poll(now).Kind, "the queue is bounded")
	require.Equal(t, 3, l.Waiting())
	urgent.Cancel()
	require.Equal(t, 2, l.Waiting())
}

func TestUnlimitedAccountsAreAdmitted(t *testing.T) {
	l := limit.NewLimiter(limit.LimiterConfig{})
	e := l.Enqueue(time.Unix(1000, 0), limit.Request{Account: "a", Tokens: 1 << 40})
	require.Equal(t, limit.StepAdmit, e.Poll(time.Unix(1000, 0)).Kind)
}
