package main

import (
	"cmp"
	"crypto/ed25519"
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"strconv"
	"strings"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/owner"
	"bulrushhinge.example/bulrushhinge/internal/peer"
)

const (
	envPrefix = "BULRUSHHINGE_"
	// needTag marks a setting that must be given.
	needTag = "need"
)

type (
	// fault is the error of an invalid setting. The command-line parser stops at
	// the first error; settings that store theirs can be reported all at once.
	fault struct{ err error }

	faulty interface{ problem() error }

	// address is the setting of an address and port.
	address struct {
		fault
		netip.AddrPort
	}

	// duration is the setting of a duration of 0 or more.
	duration struct {
		fault
		time.Duration
	}

	// count is the setting of an integer of 1 or more.
	count struct {
		fault
		n int
	}

	// ratio is the setting of a ratio of slots to nodes.
	ratio struct {
		fault
		value float64
	}

	// publicKey is the setting of an Ed25519 public key.
	publicKey struct {
		fault
		key ed25519.PublicKey
	}

	// secret is the setting of a secret that the fleet's nodes share.
	secret struct {
		fault
		data []byte
	}

	// privateKey is the setting of an Ed25519 seed.
	privateKey struct {
		fault
		key ed25519.PrivateKey
	}
)

func (f fault) problem() error { return f.err }

// UnmarshalText reads an address such as 127.0.0.1:8080.
func (a *address) UnmarshalText(text []byte) error {
	a.AddrPort, a.err = netip.ParseAddrPort(string(text))
	return nil
}

// UnmarshalText reads a duration such as 30s.
func (d *duration) UnmarshalText(text []byte) error {
	d.Duration, d.err = time.ParseDuration(string(text))
	if d.err == nil && d.Duration < 0 {
		d.err = fmt.Errorf("%v is below 0", d.Duration)
	}
	return nil
}

// UnmarshalText reads an integer of 1 or more.
func (c *count) UnmarshalText(text []byte) error {
	_, c.err = fmt.Sscanf(string(text)+"\n", "%d\n", &c.n)
	if c.err != nil || c.n < 1 {
		c.err = fmt.Errorf("%q is no whole number from 1", text)
	}
	return nil
}

// UnmarshalText reads a ratio of slots to nodes, such as 0.5.
func (r *ratio) UnmarshalText(text []byte) error {
	r.value, r.err = strconv.ParseFloat(string(text), 64)
	if r.err != nil {
		r.err = fmt.Errorf("%q is no number", text)
		return nil
	}
	r.err = owner.CheckRatio(r.value)
	return nil
}

// UnmarshalText reads a public key in hexadecimal.
func (k *publicKey) UnmarshalText(text []byte) error {
	key, err := hex.DecodeString(string(text))
	if err != nil || len(key) != ed25519.PublicKeySize {
		k.err = fmt.Errorf("%q is no Ed25519 public key of %d hexadecimal digits", text, 2*ed25519.PublicKeySize)
		return nil
	}
	k.key = key
	return nil
}

// UnmarshalText reads a seed in hexadecimal. The error omits the text, which is a
// secret.
func (k *privateKey) UnmarshalText(text []byte) error {
	seed, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil || len(seed) != ed25519.SeedSize {
		k.err = fmt.Errorf("is no Ed25519 seed of %d hexadecimal digits", 2*ed25519.SeedSize)
		return nil
	}
	k.key = ed25519.NewKeyFromSeed(seed)
	return nil
}

// UnmarshalText reads a secret in hexadecimal. The error omits it.
func (s *secret) UnmarshalText(text []byte) error {
	data, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil || len(data) != peer.SecretSize {
		s.err = fmt.Errorf("is no secret of %d hexadecimal digits", 2*peer.SecretSize)
		return nil
	}
	s.data = data
	return nil
}

// checkSettings returns all errors in the settings of a command, which is a
// pointer to a struct of flags: missing and invalid values.
func checkSettings(command any) error {
	v := reflect.ValueOf(command).Elem()
	var errs []error
	for i := range v.NumField() {
		f := v.Type().Field(i)
		if !f.IsExported() {
			continue
		}
		name := strings.ToLower(f.Name)
		if given := f.Tag.Get("name"); given != "" {
			name = given
		}
		env := cmp.Or(f.Tag.Get("env"), envOf(name))
		if f.Tag.Get(needTag) != "" && v.Field(i).IsZero() {
			errs = append(errs, fmt.Errorf("--%s (%s) is missing", name, env))
		}
		for _, err := range faultsOf(v.Field(i)) {
			errs = append(errs, fmt.Errorf("--%s (%s): %w", name, env, err))
		}
	}
	return errors.Join(errs...)
}

func faultsOf(v reflect.Value) []error {
	if f, ok := v.Interface().(faulty); ok {
		if err := f.problem(); err != nil {
			return []error{err}
		}
		return nil
	}
	if v.Kind() != reflect.Slice {
		return nil
	}
	var errs []error
	for i := range v.Len() {
		errs = append(errs, faultsOf(v.Index(i))...)
	}
	return errs
}

func envOf(name string) string {
	return envPrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}
