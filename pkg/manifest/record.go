package manifest

import (
	"crypto/ed25519"
	"errors"
	"fmt"
)

// Verdicts of operators on a change.
const (
	// VerdictAccept puts a revision in force.
	VerdictAccept Verdict = "accept"
	// VerdictReject says that a revision must not come into force.
	VerdictReject Verdict = "reject"
)

const signFormat = "bulrushhinge %s v1\n%d\n%s\n"

var (
	// ErrSignature is returned where no known operator key verifies a record.
	ErrSignature = errors.New("manifest: signature not by a known operator")
	// ErrRejected is returned where a record rejects its revision.
	ErrRejected = errors.New("manifest: revision rejected by operators")
)

type (
	// Verdict is what operators decided on a change.
	Verdict string

	// Record is an operator's signed verdict on one revision. The pipeline
	// publishes it; a node puts in force only what a valid record accepts.
	Record struct {
		Verdict  Verdict `json:"verdict"`
		Revision uint64  `json:"revision"`
		// Digest is that of the revision's root.
		Digest Digest `json:"digest"`
		// Signature is by Ed25519 over verdict, revision and digest.
		Signature []byte `json:"signature"`
	}
)

// Accept signs the acceptance of the revision whose root has the given digest.
func Accept(key ed25519.PrivateKey, revision uint64, digest Digest) Record {
	return sign(key, Record{Verdict: VerdictAccept, Revision: revision, Digest: digest})
}

// Reject signs the rejection of the revision whose root has the given digest.
func Reject(key ed25519.PrivateKey, revision uint64, digest Digest) Record {
	return sign(key, Record{Verdict: VerdictReject, Revision: revision, Digest: digest})
}

// ParseRecord reads a record strictly. It returns Problems where it is
// malformed; Verify checks the signature.
func ParseRecord(data []byte) (Record, error) {
	var r Record
	problems, _ := decode(data, &r, "record", nil)
	if err := problems.err(); err != nil {
		return Record{}, err
	}
	return r, nil
}

// Verify returns nil only where one of the operators' keys signed the record
// and it accepts its revision, else ErrSignature or ErrRejected.
func (r Record) Verify(operators []ed25519.PublicKey) error {
	if !r.signed(operators) {
		return ErrSignature
	}
	if r.Verdict != VerdictAccept {
		return fmt.Errorf("%w: revision %d", ErrRejected, r.Revision)
	}
	return nil
}

func (r Record) signed(operators []ed25519.PublicKey) bool {
	for _, key := range operators {
		if ed25519.Verify(key, r.message(), r.Signature) {
			return true
		}
	}
	return false
}

func (r Record) message() []byte {
	return fmt.Appendf(nil, signFormat, r.Verdict, r.Revision, r.Digest)
}

func sign(key ed25519.PrivateKey, r Record) Record {
	r.Signature = ed25519.Sign(key, r.message())
	return r
}
