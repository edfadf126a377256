package manifest

import (
	"encoding/hex"
	"fmt"
	"math"
	"regexp"
	"strings"
)

// namePattern is what a name may hold. It leaves out the slash: chats are kept
// apart by "account/chat", and an account named "a/b" could meet account "a"
// with a chat named "b/…".
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// checker collects contradictions.
type checker struct {
	problems Problems
}

// Check returns everything that contradicts itself in a manifest, as Problems,
// or nil.
func (m *Manifest) Check() error { return m.contradictions().err() }

func (m *Manifest) contradictions() Problems {
	c := &checker{}
	if m.Revision == 0 {
		c.note("revision", "must be 1 or more")
	}
	c.deployments(m)
	c.zones(m)
	c.models(m)
	c.services(m)
	c.accounts(m)
	return c.problems
}

func (c *checker) note(path, format string, args ...any) {
	c.problems = append(c.problems, Problem{Path: path, Text: fmt.Sprintf(format, args...)})
}

func (c *checker) deployments(m *Manifest) {
	seen := names{}
	for i, d := range m.Deployments {
		path := fmt.Sprintf("deployments[%d]", i)
		c.name(seen, path, d.Name)
		if math.IsNaN(d.Bound) || math.IsInf(d.Bound, 0) || d.Bound < 1 {
			c.note(path+".bound", "%v is below 1: no endpoint could carry the mean load", d.Bound)
		}
	}
}

func (c *checker) zones(m *Manifest) {
	seen := names{}
	for i, z := range m.Zones {
		path := fmt.Sprintf("zones[%d]", i)
		c.name(seen, path, z.Name)
		c.form(path+".region", z.Region)
	}
}

func (c *checker) models(m *Manifest) {
	seen := names{}
	for i, model := range m.Models {
		path := fmt.Sprintf("models[%d]", i)
		c.name(seen, path, model.Name)
		if len(model.Versions) == 0 {
			c.note(path+".versions", "names no version")
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
			c.note(path+".deployment", "there is no deployment %q", s.Deployment)
		}
		c.kind(path, s)
		for j, model := range s.Models {
			c.served(served, known.models, fmt.Sprintf("%s.models[%d]", path, j), model, s.Name)
		}
	}
}

func (c *checker) kind(path string, s Service) {
	switch {
	case s.Kind != KindChat && s.Kind != KindPlain:
		c.note(path+".kind", "%q is neither %q nor %q", s.Kind, KindChat, KindPlain)
	case s.Kind == KindChat && len(s.Models) == 0:
		c.note(path+".models", "a chat service needs a model")
	case s.Kind == KindPlain && len(s.Models) > 0:
		c.note(path+".models", "a plain service has no models")
	}
}

func (c *checker) served(served, known names, path, model, service string) {
	if _, ok := known[model]; !ok {
		c.note(path, "there is no model %q", model)
	}
	if other, ok := served[model]; ok {
		c.note(path, "model %q is already served by service %q", model, other)
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
			c.note(path+".key", "is also the key of account %q", other)
		}
		keys[a.Key] = a.Name
		if !isDigest(a.Key) {
			c.note(path+".key", "must be a SHA-256 digest: %d lower-case hexadecimal digits", 2*digestBytes)
		}
		c.positive(path+".rate", a.Rate)
		c.positive(path+".burst", a.Burst)
	}
}

// name checks the name of a list's entry, which must be the only one.
func (c *checker) name(seen names, path, name string) {
	c.form(path+".name", name)
	if first, ok := seen[name]; ok {
		c.note(path+".name", "%q is already the name of %s", name, first)
		return
	}
	seen[name] = path
}

func (c *checker) form(path, name string) {
	if !namePattern.MatchString(name) {
		c.note(path, "%q is no name: 1 to 128 of A-Z a-z 0-9 . _ - that start with a letter or digit", name)
	}
}

func (c *checker) distinct(path string, list []string) {
	seen := names{}
	for i, name := range list {
		at := fmt.Sprintf("%s[%d]", path, i)
		c.form(at, name)
		if _, ok := seen[name]; ok {
			c.note(at, "%q is given twice", name)
		}
		seen[name] = at
	}
}

func (c *checker) positive(path string, n float64) {
	if math.IsNaN(n) || math.IsInf(n, 0) || n <= 0 {
		c.note(path, "%v is not above 0", n)
	}
}

// names maps a name to where or whose it is.
type names map[string]string

func isDigest(s string) bool {
	b, err := hex.DecodeString(s)
	return err == nil && len(b) == digestBytes && s == strings.ToLower(s)
}
