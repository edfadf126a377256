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

// ErrConflict is returned when operators accepted two manifests of the same
// revision.
var ErrConflict = errors.New("platform: two accepted manifests of one revision")

type (
	// Getter reads values by their keys and may omit those that it does not
	// have. A Client is a Getter, and so is a peer.
	Getter interface {
		Values(ctx context.Context, keys []string) (map[string][]byte, error)
	}

	// CacheConfig is the settings of a Cache.
	CacheConfig struct {
		// Operators are the public keys that may sign records.
		Operators []ed25519.PublicKey
	}

	// Cache holds the newest accepted record together with all values that it
	// refers to; it never applies a part of a revision. It verifies the signature
	// and all digests, whatever their source. It is safe for concurrent use.
	Cache struct {
		config  CacheConfig
		mu      sync.Mutex
		record  manifest.Record
		raw     []byte
		values  map[manifest.Digest][]byte
		joiner  manifest.Joiner
		partial partialRevision
	}

	// partialRevision holds verified values of an incomplete revision.
	partialRevision struct {
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

// Value returns a value of the held revision by its key, nil if there is none.
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

// Fetch reads a record and the values that it refers to from a Getter. Its
// result is that of Take.
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

// Take verifies a record and reads the values that it refers to and the cache
// lacks. It returns the manifest if the record's revision is above the held one,
// otherwise nil. It returns ErrValue if verification fails, ErrConflict for
// another manifest of the held revision, and the Getter's errors.
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
	rootValue, err := c.read(ctx, record.Revision, []manifest.Digest{record.Digest}, from)
	maps.Copy(values, rootValue)
	return values, err
}

// read returns the values of all digests, from the cache where it has them and
// otherwise from the Getter. It keeps verified values for the next try, so that
// a revision completes even if the platform fails intermittently.
func (c *Cache) read(ctx context.Context, revision uint64, digests []manifest.Digest, from Getter) (map[manifest.Digest][]byte, error) {
	values, missing := c.cached(digests)
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
	c.keepPartial(revision, values)
	return values, err
}

func (c *Cache) cached(digests []manifest.Digest) (map[manifest.Digest][]byte, []manifest.Digest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	values := make(map[manifest.Digest][]byte, len(digests))
	var missing []manifest.Digest
	for _, d := range digests {
		if data, ok := c.values[d]; ok {
			values[d] = data
		} else if data, ok := c.partial.values[d]; ok {
			values[d] = data
		} else {
			missing = append(missing, d)
		}
	}
	return values, missing
}

// keepPartial keeps values of the highest incomplete revision only, so that
// memory is bounded.
func (c *Cache) keepPartial(revision uint64, values map[manifest.Digest][]byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision <= c.record.Revision || revision < c.partial.revision {
		return
	}
	if revision > c.partial.revision {
		c.partial = partialRevision{revision: revision, values: map[manifest.Digest][]byte{}}
	}
	maps.Copy(c.partial.values, values)
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
	if c.partial.revision <= record.Revision {
		c.partial = partialRevision{}
	}
	return m, nil
}
