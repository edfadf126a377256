package peer

import (
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcwire"

	"bulrushhinge.example/bulrushhinge/internal/peer/peerpb"
)

// Names of the calls on the wire.
const (
	CallBeat   CallName = "/peer.Peer/Beat"
	CallConfig CallName = "/peer.Peer/Config"
)

// frameStream is a typical stream number of a connection that has been in use for a
// while. Its encoded length is that of most calls.
const frameStream = 1 << 10

// A call and its reply are each written in two parts, the message and the end, and
// each part is a TLS 1.3 record: 5 bytes of header, 1 of content type and 16 of
// authentication tag.
const (
	recordBytes = 5 + 1 + 16
	records     = 2
)

// numberBytes is the additional size of the message number, in the frame and in the
// message, on a stream that has been open for long.
const numberBytes = 8

type (
	// CallName is the name of a call between nodes.
	CallName string

	// Message is a message between nodes.
	Message interface {
		*peerpb.Heartbeat | *peerpb.ConfigRequest | *peerpb.ConfigReply
		proto.Message
	}
)

// RequestBytes returns the most bytes that the client sends for a call, including
// frames and TLS records but without TCP and IP.
func RequestBytes[M Message](name CallName, m M) int {
	return frameBytes(drpcwire.KindInvoke, len(name)) +
		frameBytes(drpcwire.KindMessage, proto.Size(m)) +
		frameBytes(drpcwire.KindCloseSend, 0) +
		frameBytes(drpcwire.KindClose, 0) +
		records*recordBytes
}

// ReplyBytes returns the most bytes that the server sends in reply to a call.
func ReplyBytes[M Message](m M) int {
	return frameBytes(drpcwire.KindMessage, proto.Size(m)) +
		frameBytes(drpcwire.KindCloseSend, 0) +
		records*recordBytes
}

// PermitBytes returns the most bytes of a message on an open permit stream, in either
// direction: one frame in one TLS record.
func PermitBytes[M *peerpb.PermitRequest | *peerpb.PermitReply](m M) int {
	return frameBytes(drpcwire.KindMessage, proto.Size(proto.Message(m))) + numberBytes + recordBytes
}

func frameBytes(kind drpcwire.Kind, size int) int {
	frame := drpcwire.AppendFrame(nil, drpcwire.Frame{
		Data: make([]byte, size),
		ID:   drpcwire.ID{Stream: frameStream, Message: 1},
		Kind: kind,
		Done: true,
	})
	return len(frame)
}
