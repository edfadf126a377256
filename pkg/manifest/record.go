package manifest

import (
	"crypto/ed25519"
	"errors"
	"fmt"
)

// Verdicts of operators on a revision.
const (
	// VerdictAccept puts a revision into force.
	VerdictAccept Verdict = "accept"
	// VerdictReject keeps a revision from coming into force.
	VerdictReject Verdict = "reject"
)

const signFormat = "bulrushhinge %s v1\n%d\n%s\n"

var (
	// ErrSignature is returned if no known operator key verifies a record.
	ErrSignature = errors.New("manifest: signature not by a known operator")
	// ErrRejected is returned if a record does not accept its revision.
	ErrRejected = errors.New("manifest: revision rejected by operators")
)

type (
	// Verdict is the decision of the operators on a revision.
	Verdict string

	// Record is the signed verdict of an operator on one revision. The pipeline
	// publishes it; a node applies a revision only if a valid record accepts it.
	Record struct {
		Verdict  Verdict `json:"verdict"`
		Revision uint64  `json:"revision"`
		// Digest is the digest of the revision's root.
		Digest Digest `json:"digest"`
		// Signature is the Ed25519 signature of verdict, revision and digest.
		Signature []byte `json:"signature"`
	}
)

// Accept returns a signed record that accepts the revision whose root has the
// given digest.
func Accept(key ed25519.PrivateKey, revision uint64, digest Digest) Record {
	return sign(key, Record{Verdict: VerdictAccept, Revision: revision, Digest: digest})
}

// Reject returns a signed record that rejects the revision whose root has the
// given digest.
func Reject(key ed25519.PrivateKey, revision uint64, digest Digest) Record {
	return sign(key, Record{Verdict: VerdictReject, Revision: revision, Digest: digest})
}

// ParseRecord decodes a record strictly. It returns Problems if the record is
// malformed. It does not check the signature; Verify does.
func ParseRecord(data []byte) (Record, error) {
	var r Record
	problems, _ := decode(data, &r, "record", nil)
	if err := problems.err(); err != nil {
		return Record{}, err
	}
	return r, nil
}

// Verify returns nil if the record accepts its revision and one of the operators'
// keys verifies its signature, otherwise ErrSignature or ErrRejected.
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
