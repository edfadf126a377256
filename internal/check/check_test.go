package check_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bulrushhinge.example/bulrushhinge/internal/atmostonce"
	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/permit"
	"bulrushhinge.example/bulrushhinge/internal/rapidseed"
	"bulrushhinge.example/bulrushhinge/pkg/ticket"
)

const (
	// settleTime is the time without a fault after which nodes agree on owners.
	settleTime  = 15 * time.Second
	maxRequests = 6
)

// ticketState tracks a ticket over the whole fleet.
type ticketState struct {
	ticket   ticket.Ticket
	minter   *process
	dispatch int
	void     bool
}

func TestMain(m *testing.M) { rapidseed.Run(m, "rapid.steps", "150", "rapid.checks", "45") }

// TestInvariantsHold runs random schedules and checks after each step that
//
//   - the configuration in force at a node never reverts;
//   - a ticket is dispatched at most once, and never after it was voided;
//   - a leaving endpoint gets no new work after the grace period, and none from a
//     node that has received its leave notice;
//   - a gate keeps no endpoint above its bound, computed from the mean that it
//     knows, and after settleTime without a fault only one gate grants permits for
//     an endpoint.
func TestInvariantsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		t.Repeat(map[string]func(*rapid.T){
			"":        w.check,
			"advance": w.drawAdvance,
			"flow":    w.drawDeliverAll,
			"deliver": w.drawMessage(func(m message) { w.deliver(m) }),
			"repeat":  w.drawMessage(func(m message) { w.deliver(m); w.deliver(m) }),
			"lose":    w.drawMessage(func(m message) { w.lose(m); w.lastFault = w.now }),
			"cut":     w.drawCut,
			"heal":    func(*rapid.T) { clear(w.cut); w.lastFault = w.now },
			"pause":   w.drawPause,
			"restart": w.drawRestart,
			"accept":  func(*rapid.T) { w.publishManifest() },
			"read":    w.drawRead,
			"leave":   w.drawLeave,
			"request": w.drawRequest,
			"finish":  w.drawFinish,
			"mint":    w.drawMint,
			"redeem":  w.drawRedeem,
			"void":    w.drawVoid,
		})
	})
}

// Guards against a gate that exceeds its bound after its node has read the
// platform's first manifest and instance list a second time, late.
func TestGateKeepsBoundAfterRereadingList(t *testing.T) {
	w := newWorld()
	first, third := w.processes[0], w.processes[2]
	w.advance(2 * time.Second)
	w.request(t, first, w.engines[0])
	w.advance(500 * time.Millisecond)
	m := w.messages[0]
	w.messages = w.messages[1:]
	w.deliver(m)
	w.advance(12 * time.Second)
	w.step(first, kernel.Accepted{Manifest: w.manifests[0]})
	w.step(first, w.lists[0])
	w.advance(200 * time.Millisecond)
	w.deliverAll(73)
	w.advance(2100 * time.Millisecond)
	w.request(t, first, w.engines[2])
	w.advance(100 * time.Millisecond)
	w.request(t, first, w.engines[2])
	w.request(t, first, w.engines[2])
	w.deliverAll(2)
	w.request(t, third, w.engines[2])
}

var steps = []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second, 6 * time.Second}

// drawAdvance advances the clock without delivering messages.
func (w *world) drawAdvance(t *rapid.T) {
	w.advance(rapid.SampledFrom(steps).Draw(t, "time"))
	w.lastFault = w.now
}

func (w *world) check(t *rapid.T) {
	for _, p := range w.processes {
		m := p.kernel.View().Manifest
		if m == nil {
			continue
		}
		if m.Revision < p.revision {
			t.Fatalf("%s reverted from revision %d to %d", p.name, p.revision, m.Revision)
		}
		p.revision = m.Revision
	}
	for _, s := range w.tickets {
		if s.dispatch > 1 {
			t.Fatalf("ticket %d of %s dispatched %d times", s.ticket.Serial, s.minter.name, s.dispatch)
		}
	}
}

// checkGrant checks a permit that a gate has just granted.
func (w *world) checkGrant(t rapid.TB, owner *process, e *engine) {
	if e.leaving && !e.noticeOnly && w.now.Sub(e.left) > leaveGrace {
		t.Fatalf("%s granted a permit for %s, which has been leaving for %v", owner.name, e.name, w.now.Sub(e.left))
	}
	w.checkBound(t, owner, e)
	if w.now.Sub(w.lastFault) < settleTime || w.faulty() {
		return
	}
	for _, g := range e.running {
		if g.owner != owner && w.alive(g.owner) {
			t.Fatalf("%s and %s both granted permits for %s although nothing failed for %v", owner.name, g.owner.name, e.name, settleTime)
		}
	}
}

// checkBound checks that a gate keeps an endpoint under the bound. The mean comes
// from what the owner knows: the load reported by others plus its own grants. During
// a partition the gate of each side may grant up to the bound, and an owner does
// not count requests of nodes that it considers dead.
func (w *world) checkBound(t rapid.TB, owner *process, e *engine) {
	pool := owner.kernel.View().Pools[service]
	granted, onEndpoint := 0, 0
	for _, other := range w.engines {
		for _, g := range other.running {
			if g.owner == owner && !g.forgotten {
				granted++
				if other == e {
					onEndpoint++
				}
			}
		}
	}
	rule := permit.NewBoundRule()
	above := pool.Bound - 1
	mean := float64(pool.Total.Requests+granted+1) / float64(max(pool.Live, 1))
	limit := max(pool.Bound/above, (1+rule.Margin*above)*mean)
	if float64(onEndpoint+1) > limit {
		t.Fatalf("%s holds %d permits for %s, over the bound of %.1f", owner.name, onEndpoint+1, e.name, limit)
	}
}

func (w *world) faulty() bool {
	for _, p := range w.processes {
		if p.paused {
			return true
		}
	}
	return len(w.cut) > 0
}

// drawDeliverAll advances the clock with every message delivered at once, so that
// schedules also reach states in which nodes agree.
func (w *world) drawDeliverAll(t *rapid.T) { w.deliverAll(rapid.IntRange(1, 100).Draw(t, "ticks")) }

func (w *world) deliverAll(ticks int) {
	for range ticks {
		w.advance(kernel.DefaultTick)
		for len(w.messages) > 0 {
			m := w.messages[0]
			w.messages = w.messages[1:]
			w.deliver(m)
		}
	}
}

func (w *world) drawMessage(do func(message)) func(*rapid.T) {
	return func(t *rapid.T) {
		if len(w.messages) == 0 {
			t.Skip("no message")
		}
		i := rapid.IntRange(0, len(w.messages)-1).Draw(t, "message")
		m := w.messages[i]
		w.messages = append(w.messages[:i:i], w.messages[i+1:]...)
		do(m)
	}
}

func (w *world) drawProcess(t *rapid.T) *process {
	return w.processes[rapid.IntRange(0, nodeCount-1).Draw(t, "node")]
}

func (w *world) drawEngine(t *rapid.T) *engine {
	return w.engines[rapid.IntRange(0, endpointCount-1).Draw(t, "endpoint")]
}

func (w *world) drawCut(t *rapid.T) {
	a, b := rapid.IntRange(0, nodeCount-1).Draw(t, "from"), rapid.IntRange(0, nodeCount-1).Draw(t, "to")
	if a != b {
		w.cut[link(a, b)] = true
	}
}

// drawPause pauses or resumes a process. A resumed process keeps its old state,
// and its next event may be any, not only a tick.
func (w *world) drawPause(t *rapid.T) {
	p := w.drawProcess(t)
	p.paused = !p.paused
	w.lastFault = w.now
}

func (w *world) drawRestart(t *rapid.T) {
	w.start(w.index(w.drawProcess(t)))
	w.lastFault = w.now
}

// drawRead makes a node read the platform, which may answer with old values.
func (w *world) drawRead(t *rapid.T) {
	p := w.drawProcess(t)
	if p.paused {
		return
	}
	w.step(p, kernel.Accepted{Manifest: rapid.SampledFrom(w.manifests).Draw(t, "manifest")})
	w.step(p, w.lists[rapid.IntRange(0, len(w.lists)-1).Draw(t, "list")])
}

func (w *world) drawLeave(t *rapid.T) {
	e := w.drawEngine(t)
	if e.leaving {
		return
	}
	e.leaving, e.left, e.noticeOnly = true, w.now, rapid.Bool().Draw(t, "silent")
	w.publishList()
}

// drawRequest makes a node request several permits for one endpoint at once.
func (w *world) drawRequest(t *rapid.T) {
	p, e := w.drawProcess(t), w.drawEngine(t)
	for range rapid.IntRange(1, maxRequests).Draw(t, "requests") {
		if !p.paused {
			w.request(t, p, e)
		}
	}
}

func (w *world) drawFinish(t *rapid.T) {
	e := w.drawEngine(t)
	var first uint64
	for id := range e.running {
		if first == 0 || id < first {
			first = id
		}
	}
	if first != 0 {
		w.finish(e, first)
	}
}

func (w *world) drawMint(t *rapid.T) {
	p := w.drawProcess(t)
	minted, err := p.tickets.Mint(account)
	if err != nil {
		t.Fatal(err)
	}
	w.tickets = append(w.tickets, &ticketState{ticket: minted, minter: p})
}

// drawRedeem delivers a copy of a request with a ticket to any node, however
// late. The node redeems its own tickets and forwards others to their minter.
func (w *world) drawRedeem(t *rapid.T) {
	s, at := w.drawTicket(t)
	if at == nil {
		return
	}
	record, first, err := at.tickets.Redeem(s.ticket, account, atmostonce.Print{1})
	if err != nil || !first {
		return
	}
	if s.void {
		t.Fatalf("ticket %d of %s redeemed after it was void", s.ticket.Serial, s.minter.name)
	}
	s.dispatch++
	record.Run(context.Background(), func(context.Context, http.ResponseWriter) (atmostonce.State, error) { return atmostonce.Done, nil })
	if err := at.tickets.Wait(context.Background()); err != nil {
		t.Fatal(err)
	}
}

func (w *world) drawVoid(t *rapid.T) {
	s, at := w.drawTicket(t)
	if at == nil || at.tickets.Void(s.ticket, account) != nil {
		return
	}
	s.void = true
	if s.dispatch > 0 {
		t.Fatalf("ticket %d of %s void after it was dispatched", s.ticket.Serial, s.minter.name)
	}
}

// drawTicket returns a ticket and the process that decides on it: the one that
// has the name of the ticket's minter. The process is nil if it is paused or the
// node where the copy arrives can't reach it.
func (w *world) drawTicket(t *rapid.T) (*ticketState, *process) {
	if len(w.tickets) == 0 {
		t.Skip("no ticket")
	}
	s := rapid.SampledFrom(w.tickets).Draw(t, "ticket")
	arrives, decides := w.drawProcess(t), w.named(s.ticket.Node)
	if !w.reaches(arrives, decides) || decides.paused {
		return s, nil
	}
	return s, decides
}
