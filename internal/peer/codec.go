package peer

import (
	"time"

	"bulrushhinge.example/bulrushhinge/internal/gate"
	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/peer/peerpb"
)

// EncodeBeat returns the wire form of a heartbeat.
func EncodeBeat(b *kernel.Beat) *peerpb.Heartbeat {
	return &peerpb.Heartbeat{
		Node:        b.Node,
		Incarnation: b.Incarnation,
		Serial:      b.Serial,
		Leaving:     b.Leaving,
		Active:      uint32(max(b.Active, 0)),
		Revision:    b.Revision,
		Print:       b.Print,
		Loads:       mapped(b.Loads, encodeLoad),
		Marks:       mapped(b.Marks, encodeMark),
		Intro:       pointed(b.Intro, encodeIntro),
		ListVersion: b.ListVersion,
		Listless:    b.Listless,
		News:        pointed(b.News, encodeNews),
		Digests:     mapped(b.Digests, encodeDigest),
		Demands:     mapped(b.Demands, encodeDemand),
		Models:      mapped(b.Models, encodeModelDemand),
		Suspects:    mapped(b.Suspects, encodeSuspect),
	}
}

// DecodeBeat returns the heartbeat of a wire form.
func DecodeBeat(b *peerpb.Heartbeat) *kernel.Beat {
	return &kernel.Beat{
		Node:        b.Node,
		Incarnation: b.Incarnation,
		Serial:      b.Serial,
		Leaving:     b.Leaving,
		Active:      int(b.Active),
		Revision:    b.Revision,
		Print:       b.Print,
		Loads:       mapped(b.Loads, decodeLoad),
		Marks:       mapped(b.Marks, decodeMark),
		Intro:       valued(b.Intro, decodeIntro),
		ListVersion: b.ListVersion,
		Listless:    b.Listless,
		News:        valued(b.News, decodeNews),
		Digests:     mapped(b.Digests, decodeDigest),
		Demands:     mapped(b.Demands, decodeDemand),
		Models:      mapped(b.Models, decodeModelDemand),
		Suspects:    mapped(b.Suspects, decodeSuspect),
	}
}

// EncodePermit returns the wire form of a batch.
func EncodePermit(node string, b gate.Batch) *peerpb.PermitRequest {
	return &peerpb.PermitRequest{
		Node:     node,
		Asks:     mapped(b.Asks, encodeAsk),
		Declares: mapped(b.Declares, encodeAsk),
		Returns:  mapped(b.Returns, func(r gate.Return) uint64 { return r.ID }),
		TookMs:   mapped(b.Returns, tookMS),
		Own:      encodeOwn(b.Own),
	}
}

// DecodePermit returns the batch of a wire form.
func DecodePermit(r *peerpb.PermitRequest) gate.Batch {
	decode := func(a *peerpb.Ask) gate.Ask { return decodeAsk(r.Node, a) }
	return gate.Batch{
		Asks:     mapped(r.Asks, decode),
		Declares: mapped(r.Declares, decode),
		Returns:  decodeReturns(r),
		Own:      decodeOwn(r.Own),
	}
}

// tookMS rounds up, since 0 stands for a request that did not run.
func tookMS(r gate.Return) uint32 {
	return uint32((max(r.Took, 0) + time.Millisecond - 1) / time.Millisecond)
}

func decodeReturns(r *peerpb.PermitRequest) []gate.Return {
	returns := make([]gate.Return, len(r.Returns))
	for i, id := range r.Returns {
		returns[i].ID = id
		if i < len(r.TookMs) {
			returns[i].Took = time.Duration(r.TookMs[i]) * time.Millisecond
		}
	}
	return returns
}

// EncodeReply returns the wire form of the answer to a batch.
func EncodeReply(r gate.Reply) *peerpb.PermitReply {
	return &peerpb.PermitReply{
		Verdicts: mapped(r.Verdicts, func(v gate.Verdict) uint32 { return uint32(v) }),
		Loads:    mapped(r.Loads, encodeLoad),
		Own:      encodeOwn(r.Own),
	}
}

// DecodeReply returns the answer of a wire form.
func DecodeReply(r *peerpb.PermitReply) gate.Reply {
	return gate.Reply{
		Verdicts: mapped(r.Verdicts, func(v uint32) gate.Verdict { return gate.Verdict(v) }),
		Loads:    mapped(r.Loads, decodeLoad),
		Own:      decodeOwn(r.Own),
	}
}

// encodeOwn returns nil for no load, which takes no bytes.
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

func encodeAsk(a gate.Ask) *peerpb.Ask {
	return &peerpb.Ask{
		Id:       a.ID,
		Endpoint: a.Endpoint,
		Tokens:   uint32(max(a.Tokens, 0)),
		LeaseMs:  uint32(max(a.Lease.Milliseconds(), 0)),
		Waited:   a.Waited,
		Suspect:  uint32(a.Suspect),
	}
}

func decodeAsk(node string, a *peerpb.Ask) gate.Ask {
	return gate.Ask{
		ID:       a.Id,
		Endpoint: a.Endpoint,
		Node:     node,
		Tokens:   int(a.Tokens),
		Waited:   a.Waited,
		Lease:    time.Duration(a.LeaseMs) * time.Millisecond,
		Suspect:  int(a.Suspect),
	}
}

// mapped returns the values of a list, each turned by f; nil for an empty list.
func mapped[A, B any](list []A, f func(A) B) []B {
	if len(list) == 0 {
		return nil
	}
	turned := make([]B, len(list))
	for i, a := range list {
		turned[i] = f(a)
	}
	return turned
}

// pointed returns the message of a value; nil for nil.
func pointed[A, B any](a *A, f func(A) *B) *B {
	if a == nil {
		return nil
	}
	return f(*a)
}

// valued returns a pointer to a message turned by f; nil for nil.
func valued[A, B any](a *A, f func(*A) B) *B {
	if a == nil {
		return nil
	}
	b := f(a)
	return &b
}
