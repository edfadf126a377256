package manifest

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxValue is the maximum size of a value on the platform, in bytes.
	MaxValue = 1 << 20
	// Shards is the number of sections that the client accounts are
	// distributed over. A change of one account transfers the root, whose size
	// grows with the number of shards, and one shard, whose size shrinks with
	// it; 64 is about the minimum of the sum at 1,600 accounts.
	Shards = 64

	digestBytes = 32
	maxShards   = 4096
)

var (
	// ErrSize is returned if a section or root is larger than MaxValue bytes.
	ErrSize = errors.New("manifest: value too large")
	// ErrSection is returned if a section is missing or does not match its
	// digest.
	ErrSection = errors.New("manifest: bad section")
)

type (
	// Root lists the sections of one revision by their digests. Revisions share
	// equal sections.
	Root struct {
		Revision    uint64 `json:"revision"`
		Deployments Digest `json:"deployments"`
		Zones       Digest `json:"zones"`
		Models      Digest `json:"models"`
		Services    Digest `json:"services"`
		// Accounts holds the digests of the shards of the client accounts.
		Accounts []Digest `json:"accounts"`
	}

	// Parts is a manifest split into the values that a pipeline publishes.
	Parts struct {
		// Digest is the digest of the root.
		Digest Digest
		// Values holds the root and the sections by their digests.
		Values map[Digest][]byte
	}

	// splitter encodes sections and collects their errors.
	splitter struct {
		parts Parts
		errs  []error
	}
)

// Split encodes a manifest as a root and sections. Manifests that differ only in
// the order of their entries have the same encoding. It returns Problems if the
// manifest does not pass Check and ErrSize if a section is too large.
func Split(m *Manifest) (Parts, error) {
	if err := m.Check(); err != nil {
		return Parts{}, err
	}
	sorted := m.sorted()
	s := &splitter{parts: Parts{Values: map[Digest][]byte{}}}
	root := Root{
		Revision:    m.Revision,
		Deployments: s.add("deployments", sorted.Deployments),
		Zones:       s.add("zones", sorted.Zones),
		Models:      s.add("models", sorted.Models),
		Services:    s.add("services", sorted.Services),
	}
	for i, shard := range shards(sorted.Accounts) {
		root.Accounts = append(root.Accounts, s.add(fmt.Sprintf("accounts shard %d", i), shard))
	}
	s.parts.Digest = s.add("root", root)
	return s.parts, errors.Join(s.errs...)
}

// ParseRoot decodes a root strictly. It returns Problems if it is malformed.
func ParseRoot(data []byte) (Root, error) {
	var r Root
	problems, _ := decode(data, &r, "root", nil)
	if len(r.Accounts) > maxShards {
		problems = append(problems, Problem{Path: "root.accounts", Text: "has too many shards"})
	}
	for _, d := range r.Sections() {
		if !isDigest(string(d)) {
			problems = append(problems, Problem{Path: "root", Text: fmt.Sprintf("%q is no digest", d)})
		}
	}
	return r, problems.err()
}

// Sections returns the digests of the root's sections, sorted and without
// duplicates.
func (r Root) Sections() []Digest {
	all := append([]Digest{r.Deployments, r.Zones, r.Models, r.Services}, r.Accounts...)
	slices.Sort(all)
	return slices.Compact(all)
}

// Joiner joins sections into manifests. It caches the account shards of the last
// manifest, so that a change of one account requires decoding only one shard. It
// is not safe for concurrent use.
type Joiner struct {
	shards map[Digest][]Account
}

// Join returns the indexed manifest of a root and its sections. The values must
// contain every section; each is checked against its digest. Join returns
// ErrSection if one is missing or does not match, and Problems if the manifest is
// malformed or contradicts itself.
func Join(r Root, values map[Digest][]byte) (*Manifest, error) {
	return (&Joiner{}).Join(r, values)
}

// Join is like the function Join, but needs no values for the shards that j has
// cached.
func (j *Joiner) Join(r Root, values map[Digest][]byte) (*Manifest, error) {
	m := &Manifest{Revision: r.Revision}
	var problems Problems
	err := errors.Join(
		section(values, r.Deployments, "deployments", &m.Deployments, &problems),
		section(values, r.Zones, "zones", &m.Zones, &problems),
		section(values, r.Models, "models", &m.Models, &problems),
		section(values, r.Services, "services", &m.Services, &problems),
	)
	fresh := make(map[Digest][]Account, len(r.Accounts))
	for _, d := range r.Accounts {
		shard, known := j.shards[d]
		if !known {
			err = errors.Join(err, section(values, d, "accounts", &shard, &problems))
		}
		fresh[d] = shard
		m.Accounts = append(m.Accounts, shard...)
	}
	if err != nil {
		return nil, err
	}
	slices.SortFunc(m.Accounts, func(a, b Account) int { return strings.Compare(a.Name, b.Name) })
	problems = append(problems, m.validate()...)
	if len(problems) > 0 {
		return nil, problems.err()
	}
	j.shards = fresh
	m.index = newIndex(m)
	m.print = r.fingerprint()
	return m, nil
}

// Fingerprint returns a hash that distinguishes different manifests of the same
// revision, or 0 if the manifest was not joined from sections.
func (m *Manifest) Fingerprint() uint64 { return m.print }

func (r Root) fingerprint() uint64 {
	d := xxhash.New()
	for _, s := range append([]Digest{r.Deployments, r.Zones, r.Models, r.Services}, r.Accounts...) {
		_, _ = d.WriteString(string(s))
	}
	return max(d.Sum64(), 1)
}

func section[T any](values map[Digest][]byte, d Digest, name string, list *[]T, problems *Problems) error {
	data, ok := values[d]
	if !ok {
		return fmt.Errorf("%w: %s %s is missing", ErrSection, name, d)
	}
	if Sum(data) != d {
		return fmt.Errorf("%w: %s does not match digest %s", ErrSection, name, d)
	}
	found, _ := decode(data, list, name, nil)
	*problems = append(*problems, found...)
	return nil
}

func (s *splitter) add(name string, value any) Digest {
	data, err := json.Marshal(value)
	if err != nil {
		s.errs = append(s.errs, fmt.Errorf("%w: %s: %v", ErrFormat, name, err))
		return ""
	}
	if len(data) > MaxValue {
		s.errs = append(s.errs, fmt.Errorf("%w: %s is %d bytes, at most %d", ErrSize, name, len(data), MaxValue))
	}
	d := Sum(data)
	s.parts.Values[d] = data
	return d
}

func shards(accounts []Account) [][]Account {
	list := make([][]Account, Shards)
	for i := range list {
		list[i] = []Account{}
	}
	for _, a := range accounts {
		i := xxhash.Sum64String(a.Name) % Shards
		list[i] = append(list[i], a)
	}
	return list
}

// sorted returns a copy with entries sorted by name and without nil lists. The
// order of versions, adapters and models within an entry is kept.
func (m *Manifest) sorted() *Manifest {
	c := m.Clone()
	c.Deployments = byName(c.Deployments, func(d Deployment) string { return d.Name })
	c.Zones = byName(c.Zones, func(z Zone) string { return z.Name })
	c.Models = byName(c.Models, func(m Model) string { return m.Name })
	c.Services = byName(c.Services, func(s Service) string { return s.Name })
	c.Accounts = byName(c.Accounts, func(a Account) string { return a.Name })
	for i := range c.Models {
		c.Models[i].Versions = notNil(c.Models[i].Versions)
		c.Models[i].Adapters = notNil(c.Models[i].Adapters)
	}
	for i := range c.Services {
		c.Services[i].Models = notNil(c.Services[i].Models)
	}
	return c
}

func byName[T any](list []T, name func(T) string) []T {
	slices.SortFunc(list, func(a, b T) int { return strings.Compare(name(a), name(b)) })
	return notNil(list)
}

func notNil[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}
