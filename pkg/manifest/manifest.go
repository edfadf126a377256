// Package manifest defines the format in which operators describe their
// deployments, and the signed records with which they accept or reject a revision.
package manifest

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
)

// Kinds of services.
const (
	// KindChat is the kind of services whose endpoints are model engines that
	// stream chat completions.
	KindChat Kind = "chat"
	// KindPlain is the kind of services with plain requests and responses.
	KindPlain Kind = "plain"
)

// ErrFormat is returned if a manifest, root, section or record is malformed.
var ErrFormat = errors.New("manifest: bad format")

type (
	// Kind is the protocol of a service.
	Kind string

	// Digest is the SHA-256 of a section or root, in lower-case hexadecimal.
	Digest string

	// Manifest is the complete configuration of one revision. The results of
	// Parse and Join are indexed and must not be changed; change a Clone
	// instead.
	Manifest struct {
		// Revision is the number of the revision; a higher one replaces a
		// lower one.
		Revision    uint64       `json:"revision"`
		Deployments []Deployment `json:"deployments"`
		Zones       []Zone       `json:"zones"`
		Models      []Model      `json:"models"`
		Services    []Service    `json:"services"`
		Accounts    []Account    `json:"accounts"`

		index *index
		print uint64
	}

	// Deployment is a set of services with a common bound on load skew.
	Deployment struct {
		Name string `json:"name"`
		// Bound is the multiple of the mean load that no engine may exceed.
		Bound float64 `json:"bound"`
	}

	// Zone is an availability zone.
	Zone struct {
		Name   string `json:"name"`
		Region string `json:"region"`
	}

	// Model is a model that engines can load.
	Model struct {
		Name     string   `json:"name"`
		Versions []string `json:"versions"`
		Adapters []string `json:"adapters"`
	}

	// Service is a set of endpoints that serve the same calls.
	Service struct {
		Name       string   `json:"name"`
		Deployment string   `json:"deployment"`
		Kind       Kind     `json:"kind"`
		Models     []string `json:"models"`
		// Once is set if no call of the service may be repeated.
		Once bool `json:"once"`
		// Fenced is set if the endpoints refuse orders with an old fencing
		// number.
		Fenced bool `json:"fenced"`
	}

	// Account is a client account.
	Account struct {
		Name string `json:"name"`
		// Key is the SHA-256 of the account's secret key, in lower-case
		// hexadecimal.
		Key string `json:"key"`
		// Rate is the limit of the account over the whole fleet, in tokens per
		// second.
		Rate float64 `json:"rate"`
		// Burst is the number of tokens that the account may request at once.
		Burst float64 `json:"burst"`
		// Priority is the priority of the account's requests; higher ones are
		// served first.
		Priority int `json:"priority"`
	}
)

// Sum returns the digest of data.
func Sum(data []byte) Digest {
	sum := sha256.Sum256(data)
	return Digest(hex.EncodeToString(sum[:]))
}

// KeyDigest returns the digest of an account's secret key, as in Account.Key.
func KeyDigest(secret string) string {
	return string(Sum([]byte(secret)))
}
