package loopback

import (
	"crypto/ed25519"
	"encoding/json"
	"fmt"

	"bulrushhinge.example/bulrushhinge/internal/platform"
	"bulrushhinge.example/bulrushhinge/pkg/manifest"
)

// Propose publishes the values of a manifest, as the operators' pipeline would,
// and returns the digest of its root.
func (f *Fleet) Propose(m *manifest.Manifest) (manifest.Digest, error) {
	parts, err := manifest.Split(m)
	if err != nil {
		return "", fmt.Errorf("loopback: %w", err)
	}
	for digest, data := range parts.Values {
		f.Platform.Set(platform.PrefixManifest+string(digest), data)
	}
	return parts.Digest, nil
}

// Accept publishes a manifest with the operators' record of its acceptance.
func (f *Fleet) Accept(m *manifest.Manifest) error { return f.decide(m, manifest.Accept) }

// Reject publishes a manifest with the operators' record of its rejection.
func (f *Fleet) Reject(m *manifest.Manifest) error { return f.decide(m, manifest.Reject) }

func (f *Fleet) decide(m *manifest.Manifest, sign func(ed25519.PrivateKey, uint64, manifest.Digest) manifest.Record) error {
	digest, err := f.Propose(m)
	if err != nil {
		return err
	}
	record, err := json.Marshal(sign(f.key, m.Revision, digest))
	if err != nil {
		return fmt.Errorf("loopback: %w", err)
	}
	f.Platform.Set(platform.KeyAccepted, record)
	return nil
}

// List puts an instance that the fleet did not start on the platform's list.
func (f *Fleet) List(i platform.Instance) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list[i.Name] = i
	return f.publish()
}

func (f *Fleet) publish() error {
	list := make([]platform.Instance, 0, len(f.list))
	for _, i := range f.list {
		list = append(list, i)
	}
	data, err := json.Marshal(list)
	if err != nil {
		return fmt.Errorf("loopback: %w", err)
	}
	f.Platform.Set(platform.KeyInstances, data)
	return nil
}
