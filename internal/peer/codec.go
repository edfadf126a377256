package peer

import (
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/peer/peerpb"
	"bulrushhinge.example/bulrushhinge/internal/permit"
)

// EncodeBeat converts a heartbeat to its wire message.
func EncodeBeat(b *kernel.Heartbeat) *peerpb.Heartbeat {
	return &peerpb.Heartbeat{
		Node:        b.Node,
		Incarnation: b.Incarnation,
		Serial:      b.Serial,
		Leaving:     b.Leaving,
		Active:      uint32(max(b.Active, 0)),
		Revision:    b.Revision,
		Print:       b.Fingerprint,
		Loads:       mapSlice(b.Loads, encodeLoad),
		Marks:       mapSlice(b.LeaveNotices, encodeMark),
		Intro:       encodeOptional(b.Intro, encodeIntro),
		ListVersion: b.ListVersion,
		Listless:    b.NoList,
		News:        encodeOptional(b.ListDelta, encodeNews),
		Digests:     mapSlice(b.Digests, encodeDigest),
		Demands:     mapSlice(b.Demands, encodeDemand),
		Models:      mapSlice(b.Models, encodeModelDemand),
		Suspects:    mapSlice(b.Suspects, encodeSuspect),
	}
}

// DecodeBeat converts a wire message to a heartbeat.
func DecodeBeat(b *peerpb.Heartbeat) *kernel.Heartbeat {
	return &kernel.Heartbeat{
		Node:         b.Node,
		Incarnation:  b.Incarnation,
		Serial:       b.Serial,
		Leaving:      b.Leaving,
		Active:       int(b.Active),
		Revision:     b.Revision,
		Fingerprint:  b.Print,
		Loads:        mapSlice(b.Loads, decodeLoad),
		LeaveNotices: mapSlice(b.Marks, decodeMark),
		Intro:        decodeOptional(b.Intro, decodeIntro),
		ListVersion:  b.ListVersion,
		NoList:       b.Listless,
		ListDelta:    decodeOptional(b.News, decodeNews),
		Digests:      mapSlice(b.Digests, decodeDigest),
		Demands:      mapSlice(b.Demands, decodeDemand),
		Models:       mapSlice(b.Models, decodeModelDemand),
		Suspects:     mapSlice(b.Suspects, decodeSuspect),
	}
}

// EncodePermit converts a batch of a node to its wire message.
func EncodePermit(node string, b permit.Batch) *peerpb.PermitRequest {
	return &peerpb.PermitRequest{
		Node:     node,
		Asks:     mapSlice(b.Requests, encodeAsk),
		Declares: mapSlice(b.Declared, encodeAsk),
		Returns:  mapSlice(b.Releases, func(r permit.Release) uint64 { return r.ID }),
		TookMs:   mapSlice(b.Releases, tookMS),
		Own:      encodeOwn(b.OwnedLoad),
	}
}

// DecodePermit converts a wire message to a batch.
func DecodePermit(r *peerpb.PermitRequest) permit.Batch {
	decode := func(a *peerpb.Ask) permit.Request { return decodeAsk(r.Node, a) }
	return permit.Batch{
		Requests:  mapSlice(r.Asks, decode),
		Declared:  mapSlice(r.Declares, decode),
		Releases:  decodeReturns(r),
		OwnedLoad: decodeOwn(r.Own),
	}
}

// tookMS returns the run time in milliseconds, rounded up because 0 means that the
// request did not run.
func tookMS(r permit.Release) uint32 {
	return uint32((max(r.Took, 0) + time.Millisecond - 1) / time.Millisecond)
}

func decodeReturns(r *peerpb.PermitRequest) []permit.Release {
	returns := make([]permit.Release, len(r.Returns))
	for i, id := range r.Returns {
		returns[i].ID = id
		if i < len(r.TookMs) {
			returns[i].Took = time.Duration(r.TookMs[i]) * time.Millisecond
		}
	}
	return returns
}

// EncodeReply converts the reply to a batch to its wire message.
func EncodeReply(r permit.Reply) *peerpb.PermitReply {
	return &peerpb.PermitReply{
		Verdicts: mapSlice(r.Verdicts, func(v permit.Verdict) uint32 { return uint32(v) }),
		Loads:    mapSlice(r.Loads, encodeLoad),
		Own:      encodeOwn(r.OwnedLoad),
	}
}

// DecodeReply converts a wire message to the reply to a batch.
func DecodeReply(r *peerpb.PermitReply) permit.Reply {
	return permit.Reply{
		Verdicts:  mapSlice(r.Verdicts, func(v uint32) permit.Verdict { return permit.Verdict(v) }),
		Loads:     mapSlice(r.Loads, decodeLoad),
		OwnedLoad: decodeOwn(r.Own),
	}
}

// encodeOwn returns nil for the zero load, which takes no bytes on the wire.
func encodeOwn(l kernel.Load) *peerpb.EndpointLoad {
	if l == (kernel.Load{}) {
		return nil
	}
	return encodeLoad(kernel.EndpointLoad{Load: l})
}

func decodeOwn(l *peerpb.EndpointLoad) kernel.Load {
	if l == nil {
		return kernel.Load{}
	}
	return decodeLoad(l).Load
}

func encodeLoad(l kernel.EndpointLoad) *peerpb.EndpointLoad {
	return &peerpb.EndpointLoad{
		Endpoint: l.Endpoint,
		Requests: uint32(max(l.Load.Requests, 0)),
		Tokens:   uint64(max(l.Load.Tokens, 0)),
		State:    uint32(l.State),
	}
}

func decodeLoad(l *peerpb.EndpointLoad) kernel.EndpointLoad {
	return kernel.EndpointLoad{
		Endpoint: l.Endpoint,
		Load:     kernel.Load{Requests: int(l.Requests), Tokens: int(l.Tokens)},
		State:    kernel.State(l.State),
	}
}

func encodeAsk(a permit.Request) *peerpb.Ask {
	return &peerpb.Ask{
		Id:       a.ID,
		Endpoint: a.Endpoint,
		Tokens:   uint32(max(a.Tokens, 0)),
		LeaseMs:  uint32(max(a.Lease.Milliseconds(), 0)),
		Waited:   a.Retry,
		Suspect:  uint32(a.Suspect),
	}
}

func decodeAsk(node string, a *peerpb.Ask) permit.Request {
	return permit.Request{
		ID:       a.Id,
		Endpoint: a.Endpoint,
		Node:     node,
		Tokens:   int(a.Tokens),
		Retry:    a.Waited,
		Lease:    time.Duration(a.LeaseMs) * time.Millisecond,
		Suspect:  int(a.Suspect),
	}
}

// mapSlice applies f to each element of a list. It returns nil for an empty list.
func mapSlice[A, B any](list []A, f func(A) B) []B {
	if len(list) == 0 {
		return nil
	}
	result := make([]B, len(list))
	for i, a := range list {
		result[i] = f(a)
	}
	return result
}

// encodeOptional applies f to the value of a pointer. It returns nil for nil.
func encodeOptional[A, B any](a *A, f func(A) *B) *B {
	if a == nil {
		return nil
	}
	return f(*a)
}

// decodeOptional applies f to a message and returns a pointer to the result. It
// returns nil for nil.
func decodeOptional[A, B any](a *A, f func(*A) B) *B {
	if a == nil {
		return nil
	}
	b := f(a)
	return &b
}
