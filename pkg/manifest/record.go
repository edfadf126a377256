package manifest

import (
	"crypto/ed25519"
	"encoding/json"
	"errors"
	"fmt"
)

const signPrefix = "bulrushhinge accept v1\n"

// ErrSignature is returned where no known operator key verifies a record.
var ErrSignature = errors.New("manifest: signature not by a known operator")

// Record is an operator's signed acceptance of one revision. The pipeline
// publishes it; a node puts in force only what a valid record names.
type Record struct {
	Revision uint64 `json:"revision"`
	Digest   Digest `json:"digest"`
	// Signature is by Ed25519 over revision and digest.
	Signature []byte `json:"signature"`
}

// Accept signs the acceptance of a manifest with the given digest.
func Accept(key ed25519.PrivateKey, revision uint64, digest Digest) Record {
	r := Record{Revision: revision, Digest: digest}
	r.Signature = ed25519.Sign(key, r.message())
	return r
}

// ParseRecord reads a record.
func ParseRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("%w: record: %v", ErrFormat, err)
	}
	return r, nil
}

// Verify reports whether one of the operators' keys signed the record.
func (r Record) Verify(operators []ed25519.PublicKey) error {
	for _, key := range operators {
		if ed25519.Verify(key, r.message(), r.Signature) {
			return nil
		}
	}
	return ErrSignature
}

func (r Record) message() []byte {
	return fmt.Appendf(nil, "%s%d\n%s\n", signPrefix, r.Revision, r.Digest)
}
