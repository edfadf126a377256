package manifest

import "slices"

// index maps keys and names to entries. Every request looks up its account and
// its service; at 1,600 accounts a linear scan would take longer than routing the
// request.
type index struct {
	accounts    map[string]int
	services    map[string]int
	models      map[string]int
	deployments map[string]int
	regions     map[string]string
}

// newIndex returns the index of a manifest that has passed Check.
func newIndex(m *Manifest) *index {
	x := &index{
		accounts:    make(map[string]int, len(m.Accounts)),
		services:    make(map[string]int, len(m.Services)),
		models:      make(map[string]int, len(m.Models)),
		deployments: make(map[string]int, len(m.Deployments)),
		regions:     make(map[string]string, len(m.Zones)),
	}
	for i, a := range m.Accounts {
		x.accounts[a.Key] = i
	}
	for i, s := range m.Services {
		x.services[s.Name] = i
		for _, model := range s.Models {
			x.models[model] = i
		}
	}
	for i, d := range m.Deployments {
		x.deployments[d.Name] = i
	}
	for _, z := range m.Zones {
		x.regions[z.Name] = z.Region
	}
	return x
}

// Clone returns a deep copy that may be changed. It has no index, so its lookups
// are linear scans.
func (m *Manifest) Clone() *Manifest {
	c := &Manifest{
		Revision:    m.Revision,
		Deployments: slices.Clone(m.Deployments),
		Zones:       slices.Clone(m.Zones),
		Models:      slices.Clone(m.Models),
		Services:    slices.Clone(m.Services),
		Accounts:    slices.Clone(m.Accounts),
	}
	for i := range c.Models {
		c.Models[i].Versions = slices.Clone(c.Models[i].Versions)
		c.Models[i].Adapters = slices.Clone(c.Models[i].Adapters)
	}
	for i := range c.Services {
		c.Services[i].Models = slices.Clone(c.Services[i].Models)
	}
	return c
}

// Account returns the client account with the given key digest, as returned by
// KeyDigest for a secret key. The duration of the lookup may leak information
// about the digest, but not about the secret key.
func (m *Manifest) Account(digest string) (Account, bool) {
	if m.index != nil {
		i, ok := m.index.accounts[digest]
		return pick(m.Accounts, i, ok)
	}
	return find(m.Accounts, func(a Account) bool { return a.Key == digest })
}

// Service returns the service with the given name.
func (m *Manifest) Service(name string) (Service, bool) {
	if m.index != nil {
		i, ok := m.index.services[name]
		return pick(m.Services, i, ok)
	}
	return find(m.Services, func(s Service) bool { return s.Name == name })
}

// ServiceOf returns the service whose engines serve the given model.
func (m *Manifest) ServiceOf(model string) (Service, bool) {
	if m.index != nil {
		i, ok := m.index.models[model]
		return pick(m.Services, i, ok)
	}
	return find(m.Services, func(s Service) bool { return slices.Contains(s.Models, model) })
}

// Deployment returns the deployment with the given name.
func (m *Manifest) Deployment(name string) (Deployment, bool) {
	if m.index != nil {
		i, ok := m.index.deployments[name]
		return pick(m.Deployments, i, ok)
	}
	return find(m.Deployments, func(d Deployment) bool { return d.Name == name })
}

// Region returns the region of an availability zone, or "" if it is unknown.
func (m *Manifest) Region(zone string) string {
	if m.index != nil {
		return m.index.regions[zone]
	}
	z, _ := find(m.Zones, func(z Zone) bool { return z.Name == zone })
	return z.Region
}

func pick[T any](list []T, i int, ok bool) (T, bool) {
	if !ok {
		var zero T
		return zero, false
	}
	return list[i], true
}

func find[T any](list []T, match func(T) bool) (T, bool) {
	i := slices.IndexFunc(list, match)
	return pick(list, i, i >= 0)
}
