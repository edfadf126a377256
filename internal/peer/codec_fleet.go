package peer

import (
	"math"
	"net/netip"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/peer/peerpb"
)

func encodeInstance(i kernel.Instance) *peerpb.Instance {
	return &peerpb.Instance{
		Name:    i.Name,
		Kind:    string(i.Kind),
		Zone:    i.Zone,
		Service: i.Service,
		Addr:    encodeAddr(i.Addr),
		Peer:    encodeAddr(i.Peer),
		Leaving: i.Leaving,
	}
}

func decodeInstance(i *peerpb.Instance) kernel.Instance {
	return kernel.Instance{
		Name:    i.GetName(),
		Kind:    kernel.InstanceKind(i.GetKind()),
		Zone:    i.GetZone(),
		Service: i.GetService(),
		Addr:    decodeAddr(i.GetAddr()),
		Peer:    decodeAddr(i.GetPeer()),
		Leaving: i.GetLeaving(),
	}
}

func encodeIntro(i kernel.Intro) *peerpb.Intro {
	return &peerpb.Intro{Instance: encodeInstance(i.Instance), AgeMs: uint64(max(i.Age.Milliseconds(), 0))}
}

func decodeIntro(i *peerpb.Intro) kernel.Intro {
	return kernel.Intro{Instance: decodeInstance(i.GetInstance()), Age: duration(i.GetAgeMs())}
}

func encodeMark(m kernel.LeaveNotice) *peerpb.Mark {
	return &peerpb.Mark{Name: m.Name, Kind: string(m.Kind), Incarnation: m.Incarnation}
}

func decodeMark(m *peerpb.Mark) kernel.LeaveNotice {
	return kernel.LeaveNotice{Name: m.Name, Kind: kernel.InstanceKind(m.Kind), Incarnation: m.Incarnation}
}

func encodeNews(n kernel.ListDelta) *peerpb.News {
	return &peerpb.News{
		Base:    n.Base,
		Version: n.Version,
		Changed: mapSlice(n.Changed, encodeInstance),
		Removed: n.Removed,
	}
}

func decodeNews(n *peerpb.News) kernel.ListDelta {
	return kernel.ListDelta{
		Base:    n.Base,
		Version: n.Version,
		Changed: mapSlice(n.Changed, decodeInstance),
		Removed: n.Removed,
	}
}

func encodeDigest(d kernel.Digest) *peerpb.Digest {
	return &peerpb.Digest{
		Scope:       d.Scope,
		Origin:      d.Origin,
		Serial:      d.Serial,
		ListVersion: d.ListVersion,
		Sums:        mapSlice(d.Sums, encodeSum),
		Absent:      mapSlice(d.Absent, encodeAbsence),
		Extra:       mapSlice(d.Extra, encodeIntro),
		Demands:     mapSlice(d.Demands, encodeDemand),
	}
}

func decodeDigest(d *peerpb.Digest) kernel.Digest {
	return kernel.Digest{
		Scope:       d.Scope,
		Origin:      d.Origin,
		Serial:      d.Serial,
		ListVersion: d.ListVersion,
		Sums:        mapSlice(d.Sums, decodeSum),
		Absent:      mapSlice(d.Absent, decodeAbsence),
		Extra:       mapSlice(d.Extra, decodeIntro),
		Demands:     mapSlice(d.Demands, decodeDemand),
	}
}

func encodeSum(s kernel.Sum) *peerpb.Sum {
	return &peerpb.Sum{
		Service:  s.Service,
		Live:     uint32(max(s.Live, 0)),
		Requests: uint64(max(s.Load.Requests, 0)),
		Tokens:   uint64(max(s.Load.Tokens, 0)),
	}
}

func decodeSum(s *peerpb.Sum) kernel.Sum {
	return kernel.Sum{
		Service: s.Service,
		Live:    int(s.Live),
		Load:    kernel.Load{Requests: int(s.Requests), Tokens: int(s.Tokens)},
	}
}

func encodeAbsence(a kernel.Absence) *peerpb.Absence {
	return &peerpb.Absence{Instance: a.Instance, State: uint32(a.State)}
}

func decodeAbsence(a *peerpb.Absence) kernel.Absence {
	return kernel.Absence{Instance: a.Instance, State: kernel.State(a.State)}
}

func encodeDemand(d kernel.Demand) *peerpb.Demand {
	return &peerpb.Demand{Account: d.Account, Rate: uint64(math.Ceil(max(d.Rate, 0)))}
}

func decodeDemand(d *peerpb.Demand) kernel.Demand {
	return kernel.Demand{Account: d.Account, Rate: float64(d.Rate)}
}

func encodeModelDemand(d kernel.ModelDemand) *peerpb.ModelDemand {
	return &peerpb.ModelDemand{Model: d.Model, Rate: uint64(math.Ceil(max(d.Rate, 0)))}
}

func decodeModelDemand(d *peerpb.ModelDemand) kernel.ModelDemand {
	return kernel.ModelDemand{Model: d.Model, Rate: float64(d.Rate)}
}

// encodeAddr returns the binary form of an address, nil if the address is invalid.
func encodeAddr(a netip.AddrPort) []byte {
	if !a.IsValid() {
		return nil
	}
	data, err := a.MarshalBinary()
	if err != nil {
		return nil
	}
	return data
}

// decodeAddr parses the binary form of an address. It returns the zero address for
// malformed data.
func decodeAddr(data []byte) netip.AddrPort {
	var a netip.AddrPort
	if err := a.UnmarshalBinary(data); err != nil {
		return netip.AddrPort{}
	}
	return a
}

// duration converts milliseconds to a duration. It clamps values that overflow,
// because a peer may send any number.
func duration(ms uint64) time.Duration {
	const most = math.MaxInt64 / uint64(time.Millisecond)
	return time.Duration(min(ms, most)) * time.Millisecond
}
