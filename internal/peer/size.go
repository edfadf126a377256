package peer

import (
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcwire"

	"bulrushhinge.example/bulrushhinge/internal/peer/peerpb"
)

// Names of the calls, as they stand on the wire.
const (
	CallBeat   CallName = "/peer.Peer/Beat"
	CallConfig CallName = "/peer.Peer/Config"
)

// frameStream is a stream number of a connection that has been in use for a
// while; its encoded length is that of most calls.
const frameStream = 1 << 10

// A call and its answer are each written in two parts, the message and the
// end, and each part is a TLS 1.3 record: 5 bytes of header, 1 of content type
// and 16 of authentication tag.
const (
	recordBytes = 5 + 1 + 16
	records     = 2
)

// numberBytes is what the number of a message takes more in a stream that has
// long been open: in the frame and in the message.
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

// RequestBytes returns how many bytes the caller of a call sends at most, with
// the frames and TLS records around the message but without TCP and IP.
func RequestBytes[M Message](name CallName, m M) int {
	return frameBytes(drpcwire.KindInvoke, len(name)) +
		frameBytes(drpcwire.KindMessage, proto.Size(m)) +
		frameBytes(drpcwire.KindCloseSend, 0) +
		frameBytes(drpcwire.KindClose, 0) +
		records*recordBytes
}

// ReplyBytes returns how many bytes the answer to a call takes at most.
func ReplyBytes[M Message](m M) int {
	return frameBytes(drpcwire.KindMessage, proto.Size(m)) +
		frameBytes(drpcwire.KindCloseSend, 0) +
		records*recordBytes
}

// PermitBytes returns how many bytes a message on an open stream takes at most,
// either way: one frame in one TLS record.
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
