// Package ticket implements the format of tickets. A ticket binds a request that
// must not be repeated to the only node that may dispatch it.
//
// A ticket is "t1." followed by, in URL-safe base64, the length of the node's
// name, the name, the node's incarnation, a serial number, the expiry and a
// message authentication code over all of these and the client account.
package ticket

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"strings"
	"time"
)

const (
	prefix      = "t1."
	uint64Bytes = 8
	macBytes    = 16
	keyBytes    = 32
	fixedBytes  = 1 + 3*uint64Bytes + macBytes
	// maxNodeBytes is the maximum length of a node's name, in bytes.
	maxNodeBytes = 128
)

var (
	// ErrFormat is returned for a malformed ticket.
	ErrFormat = errors.New("ticket: bad format")
	// ErrForged is returned for a ticket that was not minted with the key or not
	// for the account.
	ErrForged = errors.New("ticket: not minted here for this account")

	encoding = base64.RawURLEncoding.Strict()
)

type (
	// Ticket is the content of a ticket. Anyone can read it, but only the holder
	// of the key can verify it.
	Ticket struct {
		// Node is the name of the node that minted the ticket.
		Node string
		// Incarnation is the incarnation of the node's process.
		Incarnation uint64
		// Serial is the number of the ticket within the incarnation.
		Serial uint64
		// Expires is when the ticket expires, as the monotonic time since the
		// start of the incarnation, in microseconds on the wire. Steps of the
		// wall clock do not affect it.
		Expires time.Duration

		mac [macBytes]byte
	}

	// Key mints and verifies tickets. It exists only in the memory of one
	// process, so the tickets that it minted become invalid when the process ends.
	Key struct{ secret [keyBytes]byte }
)

// NewKey returns a random Key.
func NewKey() *Key {
	k := &Key{}
	// Read never returns an error; it crashes the program if the system has no
	// entropy.
	_, _ = rand.Read(k.secret[:])
	return k
}

// Mint returns the ticket with its authentication code for a client account. It
// returns ErrFormat if the node's name is empty or longer than 128 bytes, or if
// Expires is negative.
func (k *Key) Mint(t Ticket, account string) (Ticket, error) {
	if t.Node == "" || len(t.Node) > maxNodeBytes || t.Expires < 0 {
		return Ticket{}, ErrFormat
	}
	t.Expires = t.Expires.Truncate(time.Microsecond)
	t.mac = k.code(t, account)
	return t, nil
}

// Verify returns ErrForged unless the key minted the ticket for the account.
func (k *Key) Verify(t Ticket, account string) error {
	code := k.code(t, account)
	if !hmac.Equal(code[:], t.mac[:]) {
		return ErrForged
	}
	return nil
}

// String returns the text form of the ticket.
func (t Ticket) String() string {
	data := append(t.content(), t.mac[:]...)
	return prefix + encoding.EncodeToString(data)
}

// Parse parses a ticket. It does not verify it.
func Parse(s string) (Ticket, error) {
	text, ok := strings.CutPrefix(s, prefix)
	if !ok || len(text) > encoding.EncodedLen(fixedBytes+maxNodeBytes) || strings.ContainsAny(text, "\r\n") {
		return Ticket{}, ErrFormat
	}
	data, err := encoding.DecodeString(text)
	if err != nil {
		return Ticket{}, fmt.Errorf("%w: %v", ErrFormat, err)
	}
	if len(data) < fixedBytes || len(data) != fixedBytes+int(data[0]) || data[0] == 0 || data[0] > maxNodeBytes {
		return Ticket{}, ErrFormat
	}
	return decode(data)
}

func decode(data []byte) (Ticket, error) {
	size := int(data[0])
	t := Ticket{Node: string(data[1 : 1+size])}
	rest := data[1+size:]
	t.Incarnation = binary.BigEndian.Uint64(rest)
	t.Serial = binary.BigEndian.Uint64(rest[uint64Bytes:])
	expires := binary.BigEndian.Uint64(rest[2*uint64Bytes:])
	if expires > uint64((1<<63-1)/time.Microsecond) {
		return Ticket{}, ErrFormat
	}
	t.Expires = time.Duration(expires) * time.Microsecond
	copy(t.mac[:], rest[3*uint64Bytes:])
	return t, nil
}

func (t Ticket) content() []byte {
	data := make([]byte, 0, fixedBytes+len(t.Node))
	data = append(data, byte(len(t.Node)))
	data = append(data, t.Node...)
	data = binary.BigEndian.AppendUint64(data, t.Incarnation)
	data = binary.BigEndian.AppendUint64(data, t.Serial)
	return binary.BigEndian.AppendUint64(data, uint64(t.Expires/time.Microsecond))
}

func (k *Key) code(t Ticket, account string) [macBytes]byte {
	h := hmac.New(sha256.New, k.secret[:])
	h.Write(t.content())
	h.Write([]byte(account))
	var code [macBytes]byte
	copy(code[:], h.Sum(nil))
	return code
}
