// Package manifest holds the format in which operators describe their
// deployments, and the signed record by which they accept a change.
package manifest

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
)

// Kinds of services.
const (
	// KindChat is a service of model engines that stream chat completions.
	KindChat Kind = "chat"
	// KindPlain is a service of plain request and response.
	KindPlain Kind = "plain"
)

// ErrFormat is returned where a manifest cannot be read.
var ErrFormat = errors.New("manifest: bad format")

type (
	// Kind is how a service is spoken to.
	Kind string

	// Digest is the SHA-256 of a section or root, in lower-case hexadecimal.
	Digest string

	// Manifest is the whole configuration of one revision. One that Parse or
	// Join returned is indexed and must not be changed; Clone gives a copy to
	// change.
	Manifest struct {
		// Revision numbers the accepted changes; a higher one replaces a lower.
		Revision    uint64       `json:"revision"`
		Deployments []Deployment `json:"deployments"`
		Zones       []Zone       `json:"zones"`
		Models      []Model      `json:"models"`
		Services    []Service    `json:"services"`
		Accounts    []Account    `json:"accounts"`

		index *index
		print uint64
	}

	// Deployment is a set of services that share a bound on skew.
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
		// Once marks that no call of the service may be repeated.
		Once bool `json:"once"`
		// Fenced says that the endpoints refuse orders with an old fencing number.
		Fenced bool `json:"fenced"`
	}

	// Account is a client account.
	Account struct {
		Name string `json:"name"`
		// Key is the SHA-256 of the account's secret key, in lower-case
		// hexadecimal.
		Key string `json:"key"`
		// Rate is the tokens a second that the account may ask for, fleet-wide.
		Rate float64 `json:"rate"`
		// Burst is the tokens that the account may ask for at once.
		Burst float64 `json:"burst"`
		// Priority orders the account's requests; higher goes first.
		Priority int `json:"priority"`
	}
)

// Sum returns the digest of data.
func Sum(data []byte) Digest {
	sum := sha256.Sum256(data)
	return Digest(hex.EncodeToString(sum[:]))
}

// KeyDigest returns the digest under which an account's secret key stands in a
// manifest.
func KeyDigest(secret string) string {
	return string(Sum([]byte(secret)))
}
