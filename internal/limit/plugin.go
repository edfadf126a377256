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
	// heavyPart is the part of an account's rate, divided by the number of
	// nodes, cells or regions, above which its demand is spread. What is not
	// spread adds up to this part of the rate at each level at most.
	heavyPart = 0.05
	// nodeDemands and cellDemands bound the accounts of a heartbeat and of a
	// digest; those that use most of their rate come first.
	nodeDemands = 8
	cellDemands = 8
	// initialPart is the part of the rate that a node gives an account before
	// its demand is known to others; with fewer nodes it is one over their
	// number.
	initialPart = 1.0 / 8
	// divideInterval is how often rates are divided anew.
	divideInterval = 200 * time.Millisecond
	// announced is how long a demand must have been spread before the node
	// takes its whole share: until then other nodes divide without it.
	announced = 1500 * time.Millisecond
	// pastDivisions is how many divisions a heartbeat takes to reach all peers.
	pastDivisions = 6
	// refreshDemand is how often an unchanged demand is told again; demandStale
	// and scopeStale are the ages from which a peer's and a scope's count no
	// more.
	refreshDemand = 4 * time.Second
	demandStale   = 10 * time.Second
	scopeStale    = 25 * time.Second
	// tellPart is the change of a demand that is told, as a part of the rate;
	// as a part of the demand, but at least of smallPart of the rate, it is
	// told after tellPause.
	tellPart  = 0.25
	smallPart = 0.5
	tellPause = 2 * time.Second
)

type (
	// Config is the settings of the plug-in.
	Config struct {
		// Limiter is the traffic side; nil limits nothing.
		Limiter *Limiter
	}

	extension struct{ config Config }

	plugin struct {
		limiter *Limiter
		kernel  *kernel.Kernel
		// own is the node's own demand, heavy that of its heavy accounts; since is when each became
		// heavy.
		own   map[string]float64
		heavy map[string]float64
		since map[string]time.Time
		// past is what heavy was at the last divisions, newest last.
		past   []map[string]float64
		peers  rates.Book
		scopes rates.Book
		// sent is what each peer was told.
		sent    rates.Book
		divided time.Time
		// accounts and initial are those of the manifest and the fleet's size
		// they were made for.
		manifest *manifest.Manifest
		fleet    fleet
		accounts map[string]manifest.Account
		initial  map[string]Share
	}

	// fleet is the nodes that should be there and those the node sees.
	fleet struct {
		listed, seen, zones, regions int
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
		limiter: e.config.Limiter,
		kernel:  k,
		heavy:   map[string]float64{},
		since:   map[string]time.Time{},
		peers:   rates.Book{},
		scopes:  rates.Book{},
		sent:    rates.Book{},
	}, kernel.PriorityLimit)
}

// Handle takes the demands that peers tell and divides the rates.
func (p *plugin) Handle(now time.Time, ev kernel.Event, _ *kernel.Output) {
	switch ev := ev.(type) {
	case kernel.BeatReceived:
		take(now, p.peers, ev.Beat.Node, ev.Beat.Demands)
	case kernel.BeatFailed:
		delete(p.sent, ev.Node)
	case kernel.Digested:
		p.scopes.Reset(ev.Digest.Scope)
		take(now, p.scopes, ev.Digest.Scope, ev.Digest.Demands)
	case kernel.Tick:
		if now.Sub(p.divided) >= divideInterval {
			p.divided = now
			p.divide(now)
		}
	}
}

// Publish writes nothing.
func (p *plugin) Publish(time.Time, *kernel.View) {}

// Beat tells a peer of the cell the heavy accounts whose demand changed.
func (p *plugin) Beat(now time.Time, to string, b *kernel.Beat) {
	if !b.Near {
		return
	}
	if b.Intro != nil {
		p.sent.Reset(to)
	}
	sent := p.sent.Of(to)
	for account, rate := range p.heavy {
		if last, known := sent[account]; known && !p.worthTelling(now, account, last, rate) {
			continue
		}
		sent[account] = rates.Told{Rate: rate, At: now}
		b.Demands = append(b.Demands, kernel.Demand{Account: account, Rate: rate})
	}
	for account, last := range sent {
		_, still := p.heavy[account]
		// One that others have pushed out of the list is forgotten by the peer
		// in time; only demand that has gone is told.
		if !still && p.own[account] < last.Rate/2 {
			delete(sent, account)
			b.Demands = append(b.Demands, kernel.Demand{Account: account})
		}
	}
	sortDemands(b.Demands)
	if b.Ends {
		b.Digests = p.concerning(to, b.Digests)
	}
}

// concerning returns digests with the demands of the accounts that a peer has
// told of only. A node needs to know of no other: at the target size the demands
// of all accounts would be most of what a relay sends.
func (p *plugin) concerning(to string, digests []kernel.Digest) []kernel.Digest {
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

// worthTelling reports whether a peer must hear of an account's demand anew: at
// once where it changed by much of the rate, less often for smaller changes, and
// now and then in any case.
func (p *plugin) worthTelling(now time.Time, account string, last rates.Told, rate float64) bool {
	limit := p.accounts[account].Rate
	change := math.Abs(last.Rate - rate)
	age := now.Sub(last.At)
	switch {
	case age >= refreshDemand || change >= tellPart*limit:
		return true
	default:
		return age >= tellPause && change >= tellPart*max(last.Rate, smallPart*limit)
	}
}

// Summarize adds the cell's heavy accounts.
func (p *plugin) Summarize(now time.Time, d *kernel.Digest) {
	sums := map[string]float64{}
	for account, rate := range p.heavy {
		sums[account] += rate
	}
	p.peers.Sum(now, sums, demandStale)
	d.Demands = p.heaviest(sums, max(p.fleet.zones, 1), cellDemands)
}

// Dump shows the heavy accounts and the fleet they are divided over.
func (p *plugin) Dump(time.Time) (name string, state any) {
	return "limit", map[string]any{
		"heavy": p.heavy, "listed": p.fleet.listed, "seen": p.fleet.seen, "waiting": p.limiter.Waiting(),
	}
}

// divide gives every account the node's share of its rate.
func (p *plugin) divide(now time.Time) {
	v := p.kernel.View()
	if v.Manifest == nil {
		return
	}
	p.measure(v)
	own := p.limiter.Demands(now)
	p.own = own
	p.heavy = map[string]float64{}
	for _, d := range p.heaviest(own, p.fleet.listed, nodeDemands) {
		p.heavy[d.Account] = d.Rate
		if p.since[d.Account].IsZero() {
			p.since[d.Account] = now
		}
	}
	p.past = append(p.past, p.heavy)
	p.past = p.past[max(len(p.past)-pastDivisions, 0):]
	for account := range p.since {
		if _, still := p.heavy[account]; !still {
			delete(p.since, account)
		}
	}
	others := map[string]float64{}
	p.peers.Sum(now, others, demandStale)
	p.scopes.Sum(now, others, scopeStale)
	shares := make(map[string]Share, len(own))
	for account, demand := range own {
		shares[account] = p.share(now, account, demand, others[account])
	}
	p.limiter.Limit(now, p.initial, shares)
}

// share returns the node's share of an account.
//
// In a partition each part of the fleet sees only its own demand. If each
// divided the whole rate among itself, the account would get it once for every
// part. The nodes that the node sees therefore divide only what as many nodes
// of the whole list would get.
func (p *plugin) share(now time.Time, account string, own, others float64) Share {
	a := p.accounts[account]
	seen := float64(p.fleet.seen) / float64(p.fleet.listed)
	part := seen * own / (own + others)
	since := p.since[account]
	if since.IsZero() || now.Sub(since) < announced {
		part = min(part, p.first())
	} else {
		known := p.known(account)
		part = seen * known / (known + others)
	}
	part = max(part, heavyPart/float64(p.fleet.listed))
	return Share{Rate: a.Rate * part, Burst: a.Burst * part}
}

// known returns the node's own demand as its peers know it.
//
// Demand that rises everywhere at once is seen at home first. Dividing by the
// others' old numbers, each node would take most of the rate until it hears of
// them. The least demand of the time that a heartbeat takes is known to all.
func (p *plugin) known(account string) float64 {
	least := math.Inf(1)
	for _, heavy := range p.past {
		least = min(least, heavy[account])
	}
	return max(least, 1)
}

// first returns the part of a rate that an account starts with.
func (p *plugin) first() float64 {
	return max(initialPart, 1/float64(p.fleet.listed)) * float64(p.fleet.seen) / float64(p.fleet.listed)
}

// measure takes over the accounts in force and the size of the fleet.
func (p *plugin) measure(v *kernel.View) {
	f := fleet{listed: max(v.Fleet, 1), zones: len(v.Manifest.Zones)}
	for _, n := range v.Nodes {
		if n.State == kernel.Live || n.Name == v.Self.Name {
			f.seen++
		}
	}
	f.listed = max(f.listed, f.seen)
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
		p.initial[a.Name] = Share{Rate: a.Rate * p.first(), Burst: a.Burst * p.first()}
	}
}

// heaviest returns the accounts that use so much of their rate that one of so
// many parts of the fleet must tell the others, at most a number of them.
func (p *plugin) heaviest(rates map[string]float64, parts, most int) []kernel.Demand {
	var list []kernel.Demand
	for account, rate := range rates {
		a, known := p.accounts[account]
		if known && rate >= heavyPart*a.Rate/float64(max(parts, 1)) {
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

// take notes what a peer or scope tells.
func take(now time.Time, book rates.Book, name string, demands []kernel.Demand) {
	for _, d := range demands {
		book.Hear(now, name, d.Account, d.Rate)
	}
}

func sortDemands(list []kernel.Demand) {
	slices.SortFunc(list, func(a, b kernel.Demand) int { return cmp.Compare(a.Account, b.Account) })
}
