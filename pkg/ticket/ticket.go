// Package ticket holds the format of the tickets by which a request that must
// not be repeated is bound to the one node that may dispatch it.
//
// A ticket is "t1." and, in URL-safe base64, the node's name with its length,
// the node's incarnation, a serial number, the expiry and a message
// authentication code over all of it and the client account.
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
	prefix     = "t1."
	wordBytes  = 8
	macBytes   = 16
	keyBytes   = 32
	fixedBytes = 1 + 3*wordBytes + macBytes
	// maxNode is the longest name of a node, in bytes.
	maxNode = 128
)

var (
	// ErrFormat is returned where a ticket cannot be read.
	ErrFormat = errors.New("ticket: bad format")
	// ErrForged is returned where a ticket was not minted with the key, or not
	// for the account.
	ErrForged = errors.New("ticket: not minted here for this account")

	encoding = base64.RawURLEncoding.Strict()
)

type (
	// Ticket is the content of a ticket. It can be read by anyone and is
	// believed only by the holder of the key.
	Ticket struct {
		// Node minted the ticket.
		Node string
		// Incarnation is that of the node's process.
		Incarnation uint64
		// Serial counts the tickets of the incarnation.
		Serial uint64
		// Expires is when the ticket ends, on the incarnation's monotonic
		// clock since its start, in microseconds on the wire. No wall clock is
		// involved, so a clock that steps changes nothing.
		Expires time.Duration

		mac [macBytes]byte
	}

	// Key mints and verifies tickets. It lives only in the memory of one
	// process: with the process, every ticket it minted ends.
	Key struct{ secret [keyBytes]byte }
)

// NewKey returns a random Key.
func NewKey() *Key {
	k := &Key{}
	// Read never fails; it ends the program where the system has no entropy.
	_, _ = rand.Read(k.secret[:])
	return k
}

// Mint returns the ticket with its code for a client account. The node's name
// is at most 128 bytes long.
func (k *Key) Mint(t Ticket, account string) (Ticket, error) {
	if t.Node == "" || len(t.Node) > maxNode || t.Expires < 0 {
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

// String returns the form that callers carry.
func (t Ticket) String() string {
	data := append(t.content(), t.mac[:]...)
	return prefix + encoding.EncodeToString(data)
}

// Parse reads a ticket. It does not tell whether the ticket is genuine.
func Parse(s string) (Ticket, error) {
	text, ok := strings.CutPrefix(s, prefix)
	if !ok || len(text) > encoding.EncodedLen(fixedBytes+maxNode) || strings.ContainsAny(text, "\r\n") {
		return Ticket{}, ErrFormat
	}
	data, err := encoding.DecodeString(text)
	if err != nil {
		return Ticket{}, fmt.Errorf("%w: %v", ErrFormat, err)
	}
	if len(data) < fixedBytes || len(data) != fixedBytes+int(data[0]) || data[0] == 0 || data[0] > maxNode {
		return Ticket{}, ErrFormat
	}
	return decode(data)
}

func decode(data []byte) (Ticket, error) {
	size := int(data[0])
	t := Ticket{Node: string(data[1 : 1+size])}
	rest := data[1+size:]
	t.Incarnation = binary.BigEndian.Uint64(rest)
	t.Serial = binary.BigEndian.Uint64(rest[wordBytes:])
	expires := binary.BigEndian.Uint64(rest[2*wordBytes:])
	if expires > uint64((1<<63-1)/time.Microsecond) {
		return Ticket{}, ErrFormat
	}
	t.Expires = time.Duration(expires) * time.Microsecond
	copy(t.mac[:], rest[3*wordBytes:])
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
