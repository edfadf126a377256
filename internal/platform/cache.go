package platform

import (
	"context"
	"crypto/ed25519"
	"errors"
	"fmt"
	"maps"
	"strings"
	"sync"

	"bulrushhinge.example/bulrushhinge/pkg/manifest"
)

// ErrConflict is returned where operators accepted two manifests of the same
// revision.
var ErrConflict = errors.New("platform: two accepted manifests of one revision")

type (
	// Getter reads values by their keys; those that it does not have are left
	// out. A Client is one, and so is a peer.
	Getter interface {
		Values(ctx context.Context, keys []string) (map[string][]byte, error)
	}

	// CacheConfig is the settings of a Cache.
	CacheConfig struct {
		// Operators are the keys whose records are accepted.
		Operators []ed25519.PublicKey
	}

	// Cache holds the newest accepted record and the values it names, whole or
	// not at all. It verifies signature and digests itself, whoever delivers
	// them. It is safe for concurrent use.
	Cache struct {
		config CacheConfig
		mu     sync.Mutex
		record manifest.Record
		raw    []byte
		values map[manifest.Digest][]byte
		joiner manifest.Joiner
		next   pending
	}

	// pending is verified values of a revision that is not whole yet.
	pending struct {
		revision uint64
		values   map[manifest.Digest][]byte
	}
)

// NewCache returns an empty Cache.
func NewCache(c CacheConfig) *Cache { return &Cache{config: c} }

// Revision returns the revision that the cache holds; 0 is none.
func (c *Cache) Revision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.record.Revision
}

// Value returns a value of the held revision by its key, nil where there is
// none.
func (c *Cache) Value(key string) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if key == KeyAccepted {
		return c.raw
	}
	digest, ok := strings.CutPrefix(key, PrefixManifest)
	if !ok {
		return nil
	}
	return c.values[manifest.Digest(digest)]
}

// Fetch reads the record of a getter and what it names. Its result is that of
// Take.
func (c *Cache) Fetch(ctx context.Context, from Getter) (*manifest.Manifest, error) {
	values, err := from.Values(ctx, []string{KeyAccepted})
	if err != nil {
		return nil, err
	}
	raw, ok := values[KeyAccepted]
	if !ok {
		return nil, fmt.Errorf("%w: %s", ErrNotFound, KeyAccepted)
	}
	return c.Take(ctx, raw, from)
}

// Take verifies a record and reads the values it names that the cache lacks.
// It returns the manifest where the record is above what the cache held, and
// nil where it is not. It returns ErrValue for what does not verify, ErrConflict
// for another manifest of the held revision, and the getter's errors.
func (c *Cache) Take(ctx context.Context, raw []byte, from Getter) (*manifest.Manifest, error) {
	record, newer, err := c.verify(raw)
	if err != nil || !newer {
		return nil, err
	}
	root, err := c.root(ctx, record, from)
	if err != nil {
		return nil, err
	}
	values, err := c.sections(ctx, record, root, from)
	if err != nil {
		return nil, err
	}
	return c.commit(record, raw, root, values)
}

func (c *Cache) verify(raw []byte) (manifest.Record, bool, error) {
	record, err := manifest.ParseRecord(raw)
	if err != nil {
		return record, false, fmt.Errorf("%w: %v", ErrValue, err)
	}
	if err := record.Verify(c.config.Operators); err != nil {
		return record, false, fmt.Errorf("%w: %v", ErrValue, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if record.Revision == c.record.Revision && record.Digest != c.record.Digest {
		return record, false, fmt.Errorf("%w: revision %d", ErrConflict, record.Revision)
	}
	return record, record.Revision > c.record.Revision, nil
}

func (c *Cache) root(ctx context.Context, record manifest.Record, from Getter) (manifest.Root, error) {
	values, err := c.read(ctx, record.Revision, []manifest.Digest{record.Digest}, from)
	if err != nil {
		return manifest.Root{}, err
	}
	root, err := manifest.ParseRoot(values[record.Digest])
	if err != nil {
		return root, fmt.Errorf("%w: %v", ErrValue, err)
	}
	if root.Revision != record.Revision {
		return root, fmt.Errorf("%w: root is of revision %d, record of %d", ErrValue, root.Revision, record.Revision)
	}
	return root, nil
}

func (c *Cache) sections(ctx context.Context, record manifest.Record, root manifest.Root, from Getter) (map[manifest.Digest][]byte, error) {
	values, err := c.read(ctx, record.Revision, root.Sections(), from)
	if err != nil {
		return nil, err
	}
	own, err := c.read(ctx, record.Revision, []manifest.Digest{record.Digest}, from)
	maps.Copy(values, own)
	return values, err
}

// read returns the values of all digests: those that the cache holds and the
// rest from the getter. What verified is kept for the next try, so that a
// platform that fails now and then still delivers in the end.
func (c *Cache) read(ctx context.Context, revision uint64, digests []manifest.Digest, from Getter) (map[manifest.Digest][]byte, error) {
	values, missing := c.known(digests)
	if len(missing) == 0 {
		return values, nil
	}
	keys := make([]string, len(missing))
	for i, d := range missing {
		keys[i] = PrefixManifest + string(d)
	}
	got, err := from.Values(ctx, keys)
	for _, d := range missing {
		data, ok := got[PrefixManifest+string(d)]
		switch {
		case !ok && err == nil:
			err = fmt.Errorf("%w: %s", ErrNotFound, d)
		case ok && manifest.Sum(data) != d:
			err = errors.Join(err, fmt.Errorf("%w: %d bytes do not match digest %s", ErrValue, len(data), d))
		case ok:
			values[d] = data
		}
	}
	c.keep(revision, values)
	return values, err
}

func (c *Cache) known(digests []manifest.Digest) (map[manifest.Digest][]byte, []manifest.Digest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	values := make(map[manifest.Digest][]byte, len(digests))
	var missing []manifest.Digest
	for _, d := range digests {
		if data, ok := c.values[d]; ok {
			values[d] = data
		} else if data, ok := c.next.values[d]; ok {
			values[d] = data
		} else {
			missing = append(missing, d)
		}
	}
	return values, missing
}

// keep holds values of one revision that is not whole yet, the highest one, so
// that the memory is bounded.
func (c *Cache) keep(revision uint64, values map[manifest.Digest][]byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision <= c.record.Revision || revision < c.next.revision {
		return
	}
	if revision > c.next.revision {
		c.next = pending{revision: revision, values: map[manifest.Digest][]byte{}}
	}
	maps.Copy(c.next.values, values)
}

func (c *Cache) commit(record manifest.Record, raw []byte, root manifest.Root, values map[manifest.Digest][]byte) (*manifest.Manifest, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if record.Revision <= c.record.Revision {
		return nil, nil
	}
	m, err := c.joiner.Join(root, values)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrValue, err)
	}
	c.record, c.raw, c.values = record, raw, values
	if c.next.revision <= record.Revision {
		c.next = pending{}
	}
	return m, nil
}
