package limit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/rates"
	"bulrushhinge.example/bulrushhinge/pkg/manifest"
)

const (
	// heavyFraction is the fraction of an account's rate, divided by the number of
	// nodes, cells or regions, above which its demand is propagated. The demand
	// that is not propagated adds up to at most this fraction of the rate at each
	// level.
	heavyFraction = 0.05
	// maxNodeDemands and maxCellDemands bound the accounts in a heartbeat and in a
	// digest; those that use most of their rate come first.
	maxNodeDemands = 8
	maxCellDemands = 8
	// initialFraction is the fraction of the rate that a node gives an account
	// before other nodes know its demand; with fewer nodes it is one over their
	// number.
	initialFraction = 1.0 / 8
	// divideInterval is how often rates are divided.
	divideInterval = 200 * time.Millisecond
	// announceDelay is how long a demand must have been propagated before the node
	// uses its whole share: until then other nodes divide the rate without it.
	announceDelay = 1500 * time.Millisecond
	// historyLen is the number of divisions in the time that a heartbeat takes to
	// reach all peers.
	historyLen = 6
	// refreshInterval is how often an unchanged demand is sent again. peerDemandTTL
	// and scopeDemandTTL are how long the demands of a peer and of a scope count.
	refreshInterval = 4 * time.Second
	peerDemandTTL   = 10 * time.Second
	scopeDemandTTL  = 25 * time.Second
	// sendThreshold is the change of a demand that is sent, as a fraction of the
	// account's rate. Measured as a fraction of the demand, or of minSendBase of
	// the rate if that is more, the change is sent after minSendInterval.
	sendThreshold   = 0.25
	minSendBase     = 0.5
	minSendInterval = 2 * time.Second
)

type (
	// Config configures the plug-in.
	Config struct {
		// Limiter admits the node's requests; nil disables the plug-in.
		Limiter *Limiter
	}

	extension struct{ config Config }

	plugin struct {
		limiter *Limiter
		kernel  *kernel.Kernel
		// own is the node's own demand, heavy that of its heavy accounts;
		// heavySince is when each became heavy.
		own        map[string]float64
		heavy      map[string]float64
		heavySince map[string]time.Time
		// heavyHistory holds heavy at the last divisions, newest last.
		heavyHistory []map[string]float64
		peers        rates.Table
		scopes       rates.Table
		// sent is what was last sent to each peer.
		sent         rates.Table
		lastDivision time.Time
		// accounts and initial are derived from manifest and fleet.
		manifest *manifest.Manifest
		fleet    fleet
		accounts map[string]manifest.Account
		initial  map[string]Share
	}

	// fleet counts the listed nodes, the reachable nodes and the zones.
	fleet struct {
		listed, reachable, zones, regions int
	}
)

// New returns the extension that registers the plug-in.
func New(c Config) kernel.Extension { return extension{config: c} }

// Extend registers the plug-in.
func (e extension) Extend(k *kernel.Kernel) {
	if e.config.Limiter == nil {
		return
	}
	k.Register(&plugin{
		limiter:    e.config.Limiter,
		kernel:     k,
		heavy:      map[string]float64{},
		heavySince: map[string]time.Time{},
		peers:      rates.Table{},
		scopes:     rates.Table{},
		sent:       rates.Table{},
	}, kernel.PriorityLimit)
}

// Handle records the demands that peers send and divides the rates.
func (p *plugin) Handle(now time.Time, ev kernel.Event, _ *kernel.Output) {
	switch ev := ev.(type) {
	case kernel.HeartbeatReceived:
		record(now, p.peers, ev.Heartbeat.Node, ev.Heartbeat.Demands)
	case kernel.HeartbeatFailed:
		delete(p.sent, ev.Node)
	case kernel.DigestReceived:
		p.scopes.Reset(ev.Digest.Scope)
		record(now, p.scopes, ev.Digest.Scope, ev.Digest.Demands)
	case kernel.Tick:
		if now.Sub(p.lastDivision) >= divideInterval {
			p.lastDivision = now
			p.divideRates(now)
		}
	}
}

// Publish adds nothing to the view.
func (p *plugin) Publish(time.Time, *kernel.View) {}

// Beat adds the heavy accounts whose demand changed, for a peer of the cell.
func (p *plugin) Beat(now time.Time, to string, b *kernel.Heartbeat) {
	if !b.SameCell {
		return
	}
	if b.Intro != nil {
		p.sent.Reset(to)
	}
	sent := p.sent.Row(to)
	for account, rate := range p.heavy {
		if last, known := sent[account]; known && !p.shouldSend(now, account, last, rate) {
			continue
		}
		sent[account] = rates.Sample{Rate: rate, At: now}
		b.Demands = append(b.Demands, kernel.Demand{Account: account, Rate: rate})
	}
	for account, last := range sent {
		_, still := p.heavy[account]
		// The demand of an account that dropped out of the list because others are
		// heavier expires at the peer; only the end of a demand is sent.
		if !still && p.own[account] < last.Rate/2 {
			delete(sent, account)
			b.Demands = append(b.Demands, kernel.Demand{Account: account})
		}
	}
	sortDemands(b.Demands)
	if b.NoForward {
		b.Digests = p.filterDigests(to, b.Digests)
	}
}

// filterDigests returns the digests with only the demands of accounts that the peer
// has reported. A node needs no others, and at the target size the demands of all
// accounts would be most of what a relay sends.
func (p *plugin) filterDigests(to string, digests []kernel.Digest) []kernel.Digest {
	known := p.peers[to]
	list := make([]kernel.Digest, len(digests))
	for i, d := range digests {
		list[i] = d
		list[i].Demands = nil
		for _, demand := range d.Demands {
			if _, serves := known[demand.Account]; serves {
				list[i].Demands = append(list[i].Demands, demand)
			}
		}
	}
	return list
}

// shouldSend reports whether to send an account's demand to a peer again:
// immediately after a change by much of the rate, less often after smaller changes,
// and periodically in any case.
func (p *plugin) shouldSend(now time.Time, account string, last rates.Sample, rate float64) bool {
	limit := p.accounts[account].Rate
	change := math.Abs(last.Rate - rate)
	age := now.Sub(last.At)
	switch {
	case age >= refreshInterval || change >= sendThreshold*limit:
		return true
	default:
		return age >= minSendInterval && change >= sendThreshold*max(last.Rate, minSendBase*limit)
	}
}

// Summarize adds the cell's heavy accounts to the digest.
func (p *plugin) Summarize(now time.Time, d *kernel.Digest) {
	sums := map[string]float64{}
	for account, rate := range p.heavy {
		sums[account] += rate
	}
	p.peers.Sum(now, sums, peerDemandTTL)
	d.Demands = p.heaviest(sums, max(p.fleet.zones, 1), maxCellDemands)
}

// Dump returns the heavy accounts and the size of the fleet that their rates are
// divided over.
func (p *plugin) Dump(time.Time) (name string, state any) {
	return "limit", map[string]any{
		"heavy": p.heavy, "listed": p.fleet.listed, "seen": p.fleet.reachable, "waiting": p.limiter.Waiting(),
	}
}

// divideRates gives every account the node's share of its rate.
func (p *plugin) divideRates(now time.Time) {
	v := p.kernel.View()
	if v.Manifest == nil {
		return
	}
	p.updateFleet(v)
	own := p.limiter.Demands(now)
	p.own = own
	p.heavy = map[string]float64{}
	for _, d := range p.heaviest(own, p.fleet.listed, maxNodeDemands) {
		p.heavy[d.Account] = d.Rate
		if p.heavySince[d.Account].IsZero() {
			p.heavySince[d.Account] = now
		}
	}
	p.heavyHistory = append(p.heavyHistory, p.heavy)
	p.heavyHistory = p.heavyHistory[max(len(p.heavyHistory)-historyLen, 0):]
	for account := range p.heavySince {
		if _, still := p.heavy[account]; !still {
			delete(p.heavySince, account)
		}
	}
	others := map[string]float64{}
	p.peers.Sum(now, others, peerDemandTTL)
	p.scopes.Sum(now, others, scopeDemandTTL)
	shares := make(map[string]Share, len(own))
	for account, demand := range own {
		shares[account] = p.share(now, account, demand, others[account])
	}
	p.limiter.SetShares(now, p.initial, shares)
}

// share returns the node's share of an account's rate.
//
// In a network partition each part of the fleet sees only its own demand. If each
// part divided the whole rate, the account would get it once per part. The
// reachable nodes therefore divide only their proportion of the rate, by number of
// listed nodes.
func (p *plugin) share(now time.Time, account string, own, others float64) Share {
	a := p.accounts[account]
	reachable := float64(p.fleet.reachable) / float64(p.fleet.listed)
	part := reachable * own / (own + others)
	since := p.heavySince[account]
	if since.IsZero() || now.Sub(since) < announceDelay {
		part = min(part, p.startFraction())
	} else {
		known := p.announcedDemand(account)
		part = reachable * known / (known + others)
	}
	part = max(part, heavyFraction/float64(p.fleet.listed))
	return Share{Rate: a.Rate * part, Burst: a.Burst * part}
}

// announcedDemand returns the node's own demand as its peers know it.
//
// When demand rises everywhere at once, each node sees its own rise first. Dividing
// by the others' old numbers, it would take most of the rate until theirs arrive.
// All peers know the lowest demand within the time that a heartbeat takes.
func (p *plugin) announcedDemand(account string) float64 {
	least := math.Inf(1)
	for _, heavy := range p.heavyHistory {
		least = min(least, heavy[account])
	}
	return max(least, 1)
}

// startFraction returns the fraction of a rate that an account starts with.
func (p *plugin) startFraction() float64 {
	return max(initialFraction, 1/float64(p.fleet.listed)) * float64(p.fleet.reachable) / float64(p.fleet.listed)
}

// updateFleet updates the accounts from the manifest and the size of the fleet.
func (p *plugin) updateFleet(v *kernel.View) {
	f := fleet{listed: max(v.Fleet, 1), zones: len(v.Manifest.Zones)}
	for _, n := range v.Nodes {
		if n.State == kernel.Live || n.Name == v.Self.Name {
			f.reachable++
		}
	}
	f.listed = max(f.listed, f.reachable)
	if f == p.fleet && v.Manifest == p.manifest {
		return
	}
	p.fleet = f
	p.manifest = v.Manifest
	p.accounts = make(map[string]manifest.Account, len(v.Manifest.Accounts))
	p.initial = make(map[string]Share, len(v.Manifest.Accounts))
	for _, a := range v.Manifest.Accounts {
		if a.Rate <= 0 {
			continue
		}
		p.accounts[a.Name] = a
		p.initial[a.Name] = Share{Rate: a.Rate * p.startFraction(), Burst: a.Burst * p.startFraction()}
	}
}

// heaviest returns the accounts that use so much of their rate that one of the
// given number of parts of the fleet must send it to the others, at most the given
// number of accounts.
func (p *plugin) heaviest(rates map[string]float64, parts, most int) []kernel.Demand {
	var list []kernel.Demand
	for account, rate := range rates {
		a, known := p.accounts[account]
		if known && rate >= heavyFraction*a.Rate/float64(max(parts, 1)) {
			list = append(list, kernel.Demand{Account: account, Rate: rate})
		}
	}
	use := func(d kernel.Demand) float64 { return d.Rate / p.accounts[d.Account].Rate }
	slices.SortFunc(list, func(a, b kernel.Demand) int {
		return cmp.Or(cmp.Compare(use(b), use(a)), cmp.Compare(a.Account, b.Account))
	})
	list = list[:min(most, len(list))]
	sortDemands(list)
	return list
}

// record stores the demands that a peer or scope sent.
func record(now time.Time, table rates.Table, name string, demands []kernel.Demand) {
	for _, d := range demands {
		table.Set(now, name, d.Account, d.Rate)
	}
}

func sortDemands(list []kernel.Demand) {
	slices.SortFunc(list, func(a, b kernel.Demand) int { return cmp.Compare(a.Account, b.Account) })
}
