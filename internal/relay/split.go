package relay

import (
	"maps"
	"math/bits"
	"time"
)

const (
	// maxDatagram is the size above which a summary is split: each datagram is one
	// of few fragments on the wire, and the loss of any loses it.
	maxDatagram = 7 << 10
	// maxShard is the mean size of a shard up to which none exceeds a datagram, and
	// minShard the least that remains for it beside the lost nodes.
	maxShard = 5 << 10
	minShard = 1 << 10
	// maxShards bounds the shards of a summary.
	maxShards = 64

	// Encoded sizes, at most.
	summaryBytes   = 128
	nodeBytes      = idBytes + 1
	loadBytes      = 8
	tokensBytes    = 10
	placementBytes = 18
	crashBytes     = 21
	leavingBytes   = 5
)

// assembly is the newest shards of one relay's summaries. A summary that was not split
// is one shard.
//
// Each shard has complete sums for its endpoints, so that a lost one leaves these
// older and no others.
type assembly struct {
	shards     []*Summary
	receivedAt []time.Time
	// whole is the summary of all shards, nil if it has to be made again.
	whole *Summary
	// updates are those of the shards of the fleet's summaries since whole was made.
	updates Updates
}

// size returns the encoded size of a summary, at most.
func (s *Summary) size() int {
	return summaryBytes + nodeBytes*s.Covered.Len() + len(s.Lost) + len(s.UpToDate) +
		loadBytes*(len(s.Loads)+len(s.Failures)+len(s.Updates.EndpointLoads)+len(s.Updates.Slowdowns)) + tokensBytes*len(s.PendingPrefill) +
		placementBytes*len(s.Updates.Placements) + crashBytes*(len(s.Updates.Crashes)+len(s.Updates.Cleared)+len(s.Updates.Unproven)) + leavingBytes*len(s.Updates.Leaving)
}

// split returns the summary in shards that fit into a datagram each. Covered nodes and
// endpoints belong to one shard each; the lost nodes are in all, and what is only sent
// when it is new in the first.
func (s *Summary) split() []*Summary {
	if s.size() <= maxDatagram {
		return []*Summary{s}
	}
	shards := make([]*Summary, shardCount(s.size()-len(s.Lost), maxShard-len(s.Lost)))
	for i := range shards {
		shards[i] = s.shard(uint32(i), uint32(len(shards)))
	}
	first := shards[0]
	first.UpToDate = s.UpToDate
	loads, slowdowns := first.Updates.EndpointLoads, first.Updates.Slowdowns
	first.Updates = s.Updates
	first.Updates.EndpointLoads, first.Updates.Slowdowns = loads, slowdowns
	return shards
}

// shardCount returns the number of shards for some bytes, each of which should have
// no more than most: a power of two, so that it seldom changes, since the shards of
// two numbers can't be combined.
func shardCount(bytes, most int) int {
	return min(1<<bits.Len(uint(bytes/max(most, minShard))), maxShards)
}

// shard returns one shard of a number of them.
func (s *Summary) shard(i, of uint32) *Summary {
	inShard := func(key uint32) bool { return key%of == i }
	part := &Summary{
		ID: s.ID, Zone: s.Zone, Sequence: s.Sequence, Fleet: s.Fleet, Age: s.Age, Oldest: s.Oldest, Epoch: s.Epoch, Revision: s.Revision,
		Shard: uint8(i), Shards: uint8(of), Lost: s.Lost,
		Loads: filtered(s.Loads, inShard), PendingPrefill: filtered(s.PendingPrefill, inShard), Failures: filtered(s.Failures, inShard),
		Updates: Updates{EndpointLoads: filtered(s.Updates.EndpointLoads, inShard), Slowdowns: filtered(s.Updates.Slowdowns, inShard)},
	}
	s.Covered.Each(func(n int, id ID) {
		if inShard(uint32(id)) {
			part.Covered, part.Statuses = part.Covered.Add(id), append(part.Statuses, s.Statuses[n])
		}
	})
	return part
}

func filtered(from map[uint32]int, match func(key uint32) bool) map[uint32]int {
	to := map[uint32]int{}
	for key, n := range from {
		if match(key) {
			to[key] = n
		}
	}
	return to
}

// add adds a shard, and reports whether it is newer than the known one.
func (a *assembly) add(now time.Time, s *Summary) bool {
	count := max(int(s.Shards), 1)
	if len(a.shards) != count {
		if newest := a.newest(); newest != nil && newest.Sequence > s.Sequence {
			return false
		}
		a.shards, a.receivedAt = make([]*Summary, count), make([]time.Time, count)
	}
	i := int(s.Shard)
	if old := a.shards[i]; old != nil && old.Sequence >= s.Sequence {
		return false
	}
	a.shards[i], a.receivedAt[i], a.whole = s, now, nil
	if s.Fleet && count > 1 {
		a.updates.append(s.Updates)
	}
	return true
}

// ready reports whether the newest summary should be used: it is complete, or most of
// it has just arrived. To wait for the rest, some of which is lost, would make all of
// it late.
func (a *assembly) ready() bool {
	newest, current := a.newest(), 0
	for _, s := range a.shards {
		if s != nil && s.Sequence == newest.Sequence {
			current++
		}
	}
	return current == len(a.shards) || current == len(a.shards)*3/4
}

// newest returns the shard with the highest sequence, nil if there is none.
func (a *assembly) newest() (newest *Summary) {
	for _, s := range a.shards {
		if s != nil && (newest == nil || s.Sequence > newest.Sequence) {
			newest = s
		}
	}
	return newest
}

// summary returns the summary of all shards received within a time, nil if there are
// none.
func (a *assembly) summary(now time.Time, valid time.Duration) *Summary {
	if a.whole != nil || len(a.shards) == 0 {
		return a.whole
	}
	a.whole = a.newest()
	if len(a.shards) > 1 {
		all := *a.whole
		a.merge(&all, now, valid)
		a.whole = &all
	}
	return a.whole
}

// merge replaces what is divided between the shards by that of all valid ones.
func (a *assembly) merge(all *Summary, now time.Time, valid time.Duration) {
	all.Updates, a.updates = a.updates, Updates{}
	all.Shard, all.Shards, all.Covered, all.Statuses = 0, 0, nil, nil
	all.Loads, all.PendingPrefill, all.Failures = map[uint32]int{}, map[uint32]int{}, map[uint32]int{}
	lost := map[ID]bool{}
	all.Lost.Each(func(_ int, id ID) { lost[id] = true })
	if first := a.shards[0]; first != nil && first.Position() == all.Position() {
		all.UpToDate = first.UpToDate
	}
	for i, s := range a.shards {
		if s == nil || now.Sub(a.receivedAt[i]) > valid {
			continue
		}
		s.Covered.Each(func(n int, id ID) {
			// An older shard may cover a node that has been lost since.
			if !lost[id] {
				all.Covered, all.Statuses = all.Covered.Add(id), append(all.Statuses, s.Statuses[n])
			}
		})
		maps.Copy(all.Loads, s.Loads)
		maps.Copy(all.PendingPrefill, s.PendingPrefill)
		maps.Copy(all.Failures, s.Failures)
	}
}
