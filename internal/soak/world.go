package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/platform/standin"
)

type (
	// world is the fleet's environment: the store and the endpoints.
	world struct {
		ip        string
		store     *standin.Store
		storeAddr netip.AddrPort
		ledger    *ledger

		mu        sync.Mutex
		endpoints []*endpoint
		started   int
		version   int
		routes    []deployment.Route
		overlay   overlay
		// uneven is the time of uneven speeds that lasts, nil for none, and scarceAddrs
		// are the addresses of the scarce service's endpoints.
		uneven      atomic.Pointer[unevenPhase]
		scarceAddrs sync.Map
	}

	// endpoint is an endpoint behind a proxy of its own.
	endpoint struct {
		id       string
		service  string
		standIn  *standin.Endpoint
		server   *http.Server
		listener net.Listener
		proxy    *proxy
		// unannounced endpoints leave by the removal of their entry alone.
		unannounced bool
		zone        string
	}
)

func newWorld(ip string, l *ledger) (*world, error) {
	w := &world{ip: ip, store: standin.NewStore(), ledger: l}
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, fmt.Errorf("soak: store: %w", err)
	}
	w.storeAddr = netip.MustParseAddrPort(listener.Addr().String())
	go func() { _ = http.Serve(listener, w.store) }()
	if err := w.configure(); err != nil {
		return nil, err
	}
	for range plainEndpoints {
		if err := w.addEndpoint(servicePlain); err != nil {
			return nil, err
		}
	}
	for range smallEndpoints {
		if err := w.addEndpoint(serviceSmall); err != nil {
			return nil, err
		}
	}
	for range tinyEndpoints {
		if err := w.addEndpoint(serviceTiny); err != nil {
			return nil, err
		}
	}
	for range scarceEndpoints {
		if err := w.addEndpoint(serviceScarce); err != nil {
			return nil, err
		}
	}
	for range engineEndpoints {
		if err := w.addEndpoint(serviceEngine); err != nil {
			return nil, err
		}
	}
	return w, nil
}

func (w *world) addEndpoint(service string) error { return w.addEndpointAt(service, w.ip+":0") }

// addEndpointAt adds an endpoint whose proxy listens at an address.
func (w *world) addEndpointAt(service, addr string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.started++
	width, queue, work := slotsOf(service)
	e := &endpoint{id: fmt.Sprintf("%s-%d", service, w.started), service: service, unannounced: w.started%2 == 1, zone: zones[w.started/2%len(zones)]}
	e.standIn = standin.NewEndpoint(standin.EndpointConfig{
		ID: e.id, Slots: width, Queue: queue, Events: streamEvents, Pause: work, Slowdown: w.slowdown(service, w.started),
		Ran:     func(id, _ string, after uint64) { w.ledger.recordRun(id, e, after, time.Now()) },
		Silent:  w.ledger.losses.recordSilent,
		Arrived: func(id string, backoff time.Duration) { w.ledger.notices.arrived(id, e.id, backoff, time.Now()) },
		Crash: func(name string) {
			w.ledger.crashes.record(name, e.id, time.Now())
			if err := w.crash(e); err != nil {
				w.ledger.recordFailure(err)
			}
		},
	})
	listener, err := net.Listen("tcp4", w.ip+":0")
	if err != nil {
		return fmt.Errorf("soak: endpoint: %w", err)
	}
	e.listener = listener
	e.server = &http.Server{Handler: e.standIn}
	go func() { _ = e.server.Serve(listener) }()
	to := netip.MustParseAddrPort(listener.Addr().String())
	if e.proxy, err = newProxyAt(addr, endpointBuffer, func() netip.AddrPort { return to }); err != nil {
		return fmt.Errorf("soak: endpoint: %w", err)
	}
	if baseOf(service) == serviceScarce {
		w.scarceAddrs.Store(e.proxy.addr().String(), true)
	}
	w.endpoints = append(w.endpoints, e)
	return w.register(e, false)
}

func (w *world) register(e *endpoint, draining bool) error {
	width, _, _ := slotsOf(e.service)
	err := w.store.Register(deployment.Endpoint{
		ID: e.id, Service: e.service, Addr: e.proxy.addr(), Zone: e.zone, Slots: width, Draining: draining,
	})
	if err != nil {
		return fmt.Errorf("soak: register: %w", err)
	}
	return nil
}

// slotsOf returns the slots of a service's endpoints, how many requests wait there, and
// how long one takes.
func slotsOf(service string) (width, queue int, work time.Duration) {
	switch baseOf(service) {
	case serviceSmall:
		return smallSlots, smallQueue, workTime
	case serviceScarce:
		return scarceSlots, scarceQueue, scarceWork
	}
	if service != baseOf(service) {
		return addedSlots, 0, workTime
	}
	return slots, 0, workTime
}

// pick returns a random endpoint that is not leaving, or nil if its service has no
// other.
func (w *world) pick(r *rand.Rand) *endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.endpoints[r.IntN(len(w.endpoints))]
	left := 0
	for _, o := range w.endpoints {
		if o.service == e.service {
			left++
		}
	}
	if left < 2 {
		return nil
	}
	return e
}

// pickBusy returns a random endpoint that callers always send to, or nil.
func (w *world) pickBusy(r *rand.Rand) *endpoint {
	const tries = 20
	for range tries {
		if e := w.pick(r); e != nil && e.service != serviceSmall && e.service != serviceTiny {
			return e
		}
	}
	return nil
}

// leave makes an endpoint leave as planned and adds a replacement. An unannounced one
// is never marked as draining: a node that starts afterwards finds no trace of it, and
// must not keep other nodes from learning that it was removed.
func (w *world) leave(e *endpoint) error {
	if err := w.addEndpoint(e.service); err != nil {
		return err
	}
	return w.withdraw(e)
}

// withdraw makes an endpoint leave as planned.
func (w *world) withdraw(e *endpoint) error {
	if e.unannounced {
		w.store.Unregister(e.id)
	} else if err := w.register(e, true); err != nil {
		return err
	}
	w.ledger.recordLeave(e, time.Now())
	w.remove(e)
	go w.retire(e)
	return nil
}

// retire removes a leaving endpoint's entry once it has drained, and stops the endpoint
// once no request can run on it any more.
func (w *world) retire(e *endpoint) {
	time.Sleep(drainBound + 2*time.Second)
	w.store.Unregister(e.id)
	time.Sleep(routeTimeout)
	e.stop()
}

// announce makes an endpoint report in its answers that it is leaving, and in the store
// only after a while or never, and adds a replacement.
func (w *world) announce(e *endpoint, pause func(most time.Duration)) error {
	if err := w.addEndpoint(e.service); err != nil {
		return err
	}
	e.standIn.Leave()
	w.remove(e)
	pause(8 * time.Second)
	if !e.unannounced {
		if err := w.register(e, true); err != nil {
			return err
		}
	}
	go w.retire(e)
	return nil
}

// shed makes an endpoint refuse all requests for a while and request a backoff.
func (e *endpoint) shed(r *rand.Rand, pause func(most time.Duration)) {
	e.standIn.Shed(true, time.Duration(r.IntN(30))*100*time.Millisecond)
	pause(5 * time.Second)
	e.standIn.Shed(false, 0)
}

// crash makes an endpoint crash, once, and adds a replacement. The entry expires after
// entryTTL.
func (w *world) crash(e *endpoint) error {
	if !w.remove(e) {
		return nil
	}
	e.standIn.SetFailing(true)
	e.stop()
	if e.service == serviceTiny {
		go w.startAgain(e)
		return nil
	}
	go func() {
		time.Sleep(entryTTL)
		w.store.Unregister(e.id)
	}()
	return w.addEndpoint(e.service)
}

// evacuate evacuates a zone for a while. Its engines are cold when the evacuation ends,
// which their entries do not show yet.
func (w *world) evacuate(zone string, pause func()) error {
	if err := w.store.Evacuate(zone); err != nil {
		return fmt.Errorf("soak: evacuate: %w", err)
	}
	w.ledger.setEvacuated(zone, true)
	pause()
	w.ledger.setEvacuated(zone, false)
	w.mu.Lock()
	for _, e := range w.endpoints {
		if e.zone == zone && e.service == serviceEngine {
			e.standIn.SetCold(coldTime)
		}
	}
	w.mu.Unlock()
	w.store.EndEvacuation(zone)
	return nil
}

// restore restores the store from a copy that is some seconds old, after an outage. The
// lost changes are written again after a while, in random order.
func (w *world) restore(r *rand.Rand, pause func(most time.Duration)) string {
	const age, outage, until = 4 * time.Second, 2 * time.Second, 300 * time.Millisecond
	c := w.store.Copy()
	pause(age)
	w.store.SetDown(true)
	pause(outage)
	lost := w.store.Restore(c)
	w.store.SetDown(false)
	r.Shuffle(len(lost), func(i, j int) { lost[i], lost[j] = lost[j], lost[i] })
	for _, change := range lost {
		pause(until)
		w.store.Reapply(change)
	}
	return fmt.Sprintf("%d keys had changed", len(lost))
}

// peakColdRate returns the most requests that an engine received in a second while it
// was cold.
func (w *world) peakColdRate() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	most := 0
	for _, e := range w.endpoints {
		most = max(most, e.standIn.PeakColdRate())
	}
	return most
}

// startAgain starts an endpoint that has crashed at its address, after restartTime.
func (w *world) startAgain(e *endpoint) {
	time.Sleep(restartTime)
	if err := w.addEndpointAt(e.service, e.proxy.addr().String()); err != nil {
		w.ledger.recordFailure(err)
	}
	w.store.Unregister(e.id)
}

// remove removes an endpoint from those that faults may pick, and reports whether it
// was one.
func (w *world) remove(e *endpoint) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, o := range w.endpoints {
		if o == e {
			w.endpoints = append(w.endpoints[:i:i], w.endpoints[i+1:]...)
			return true
		}
	}
	return false
}

func (e *endpoint) stop() {
	e.proxy.close()
	_ = e.server.Close()
}
