package manifest

import (
	"encoding/hex"
	"fmt"
	"math"
	"regexp"
	"strings"
)

// namePattern matches valid names. They contain no slash, because chats are
// identified by "account/chat": a chat of an account "a/b" could get the same
// identifier as a chat "b/…" of account "a".
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// checker collects the problems of a decoded manifest.
type checker struct {
	problems Problems
}

// Check returns all invalid values and contradictions of the manifest, as
// Problems, or nil if there are none.
func (m *Manifest) Check() error { return m.validate().err() }

func (m *Manifest) validate() Problems {
	c := &checker{}
	if m.Revision == 0 {
		c.add("revision", "must be 1 or more")
	}
	c.deployments(m)
	c.zones(m)
	c.models(m)
	c.services(m)
	c.accounts(m)
	return c.problems
}

func (c *checker) add(path, format string, args ...any) {
	c.problems = append(c.problems, Problem{Path: path, Text: fmt.Sprintf(format, args...)})
}

func (c *checker) deployments(m *Manifest) {
	seen := names{}
	for i, d := range m.Deployments {
		path := fmt.Sprintf("deployments[%d]", i)
		c.name(seen, path, d.Name)
		if math.IsNaN(d.Bound) || math.IsInf(d.Bound, 0) || d.Bound < 1 {
			c.add(path+".bound", "%v is below 1: no endpoint could carry the mean load", d.Bound)
		}
	}
}

func (c *checker) zones(m *Manifest) {
	seen := names{}
	for i, z := range m.Zones {
		path := fmt.Sprintf("zones[%d]", i)
		c.name(seen, path, z.Name)
		c.syntax(path+".region", z.Region)
	}
}

func (c *checker) models(m *Manifest) {
	seen := names{}
	for i, model := range m.Models {
		path := fmt.Sprintf("models[%d]", i)
		c.name(seen, path, model.Name)
		if len(model.Versions) == 0 {
			c.add(path+".versions", "names no version")
		}
		c.distinct(path+".versions", model.Versions)
		c.distinct(path+".adapters", model.Adapters)
	}
}

func (c *checker) services(m *Manifest) {
	seen := names{}
	known := struct{ deployments, models names }{names{}, names{}}
	for _, d := range m.Deployments {
		known.deployments[d.Name] = ""
	}
	for _, model := range m.Models {
		known.models[model.Name] = ""
	}
	served := names{}
	for i, s := range m.Services {
		path := fmt.Sprintf("services[%d]", i)
		c.name(seen, path, s.Name)
		if _, ok := known.deployments[s.Deployment]; !ok {
			c.add(path+".deployment", "there is no deployment %q", s.Deployment)
		}
		c.kind(path, s)
		for j, model := range s.Models {
			c.checkServed(served, known.models, fmt.Sprintf("%s.models[%d]", path, j), model, s.Name)
		}
	}
}

func (c *checker) kind(path string, s Service) {
	switch {
	case s.Kind != KindChat && s.Kind != KindPlain:
		c.add(path+".kind", "%q is neither %q nor %q", s.Kind, KindChat, KindPlain)
	case s.Kind == KindChat && len(s.Models) == 0:
		c.add(path+".models", "a chat service needs a model")
	case s.Kind == KindPlain && len(s.Models) > 0:
		c.add(path+".models", "a plain service has no models")
	}
}

func (c *checker) checkServed(served, known names, path, model, service string) {
	if _, ok := known[model]; !ok {
		c.add(path, "there is no model %q", model)
	}
	if other, ok := served[model]; ok {
		c.add(path, "model %q is already served by service %q", model, other)
		return
	}
	served[model] = service
}

func (c *checker) accounts(m *Manifest) {
	seen := names{}
	keys := names{}
	for i, a := range m.Accounts {
		path := fmt.Sprintf("accounts[%d]", i)
		c.name(seen, path, a.Name)
		if other, ok := keys[a.Key]; ok {
			c.add(path+".key", "is also the key of account %q", other)
		}
		keys[a.Key] = a.Name
		if !isDigest(a.Key) {
			c.add(path+".key", "must be a SHA-256 digest: %d lower-case hexadecimal digits", 2*digestBytes)
		}
		c.positive(path+".rate", a.Rate)
		c.positive(path+".burst", a.Burst)
	}
}

// name checks that the name of a list entry is valid and unique in its list.
func (c *checker) name(seen names, path, name string) {
	c.syntax(path+".name", name)
	if first, ok := seen[name]; ok {
		c.add(path+".name", "%q is already the name of %s", name, first)
		return
	}
	seen[name] = path
}

func (c *checker) syntax(path, name string) {
	if !namePattern.MatchString(name) {
		c.add(path, "%q is no name: 1 to 128 of A-Z a-z 0-9 . _ - that start with a letter or digit", name)
	}
}

func (c *checker) distinct(path string, list []string) {
	seen := names{}
	for i, name := range list {
		at := fmt.Sprintf("%s[%d]", path, i)
		c.syntax(at, name)
		if _, ok := seen[name]; ok {
			c.add(at, "%q is given twice", name)
		}
		seen[name] = at
	}
}

func (c *checker) positive(path string, n float64) {
	if math.IsNaN(n) || math.IsInf(n, 0) || n <= 0 {
		c.add(path, "%v is not above 0", n)
	}
}

// names maps a name to the path or the owner of its first use.
type names map[string]string

func isDigest(s string) bool {
	b, err := hex.DecodeString(s)
	return err == nil && len(b) == digestBytes && s == strings.ToLower(s)
}
