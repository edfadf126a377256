package manifest

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Kinds of changes.
const (
	Added ChangeKind = iota + 1
	Removed
	Changed
)

type (
	// ChangeKind is what happened to an entry.
	ChangeKind int

	// Change is one difference between two manifests.
	Change struct {
		Kind ChangeKind
		// What is the kind of entry, such as "account".
		What string
		Name string
		// Field is what changed in the entry, in words; empty unless Kind is
		// Changed.
		Field string
		// From and To are the values before and after; From is empty for an
		// added entry, To for a removed one.
		From string
		To   string
	}

	// fact is one field of an entry, in words.
	fact struct {
		field string
		value string
	}

	// entries maps the names of one list to what each says.
	entries map[string][]fact
)

// Diff returns what a new manifest would change, in the order in which
// operators read it: revision, deployments, zones, models, services, accounts.
func Diff(before, after *Manifest) []Change {
	var changes []Change
	if before.Revision != after.Revision {
		changes = append(changes, Change{
			Kind: Changed, What: "manifest", Field: "revision",
			From: fmt.Sprint(before.Revision), To: fmt.Sprint(after.Revision),
		})
	}
	changes = append(changes, compare("deployment", before.Deployments, after.Deployments, deploymentFacts)...)
	changes = append(changes, compare("availability zone", before.Zones, after.Zones, zoneFacts)...)
	changes = append(changes, compare("model", before.Models, after.Models, modelFacts)...)
	changes = append(changes, compare("service", before.Services, after.Services, serviceFacts)...)
	return append(changes, compare("account", before.Accounts, after.Accounts, accountFacts)...)
}

// String returns the change in plain words.
func (c Change) String() string {
	entry := c.What
	if c.Name != "" {
		entry += " " + c.Name
	}
	switch c.Kind {
	case Added:
		return fmt.Sprintf("%s is new: %s", entry, c.To)
	case Removed:
		return fmt.Sprintf("%s goes away; it had %s", entry, c.From)
	default:
		return fmt.Sprintf("%s: %s changes from %s to %s", entry, c.Field, c.From, c.To)
	}
}

func compare[T any](what string, before, after []T, facts func(T) (string, []fact)) []Change {
	a, b := entriesOf(before, facts), entriesOf(after, facts)
	all := maps.Clone(a)
	maps.Copy(all, b)
	var changes []Change
	for _, name := range slices.Sorted(maps.Keys(all)) {
		changes = append(changes, compareEntry(what, name, a[name], b[name])...)
	}
	return changes
}

func compareEntry(what, name string, before, after []fact) []Change {
	switch {
	case before == nil:
		return []Change{{Kind: Added, What: what, Name: name, To: words(after)}}
	case after == nil:
		return []Change{{Kind: Removed, What: what, Name: name, From: words(before)}}
	}
	var changes []Change
	for i, f := range before {
		if to := after[i].value; f.value != to {
			changes = append(changes, Change{
				Kind: Changed, What: what, Name: name, Field: f.field, From: f.value, To: to,
			})
		}
	}
	return changes
}

func entriesOf[T any](list []T, facts func(T) (string, []fact)) entries {
	e := make(entries, len(list))
	for _, entry := range list {
		name, f := facts(entry)
		e[name] = f
	}
	return e
}

func words(facts []fact) string {
	list := make([]string, len(facts))
	for i, f := range facts {
		list[i] = f.field + " " + f.value
	}
	return strings.Join(list, ", ")
}

func deploymentFacts(d Deployment) (string, []fact) {
	return d.Name, []fact{{"multiple of the mean load", fmt.Sprint(d.Bound)}}
}

func zoneFacts(z Zone) (string, []fact) {
	return z.Name, []fact{{"region", z.Region}}
}

func modelFacts(m Model) (string, []fact) {
	return m.Name, []fact{{"versions", listed(m.Versions)}, {"adapters", listed(m.Adapters)}}
}

func serviceFacts(s Service) (string, []fact) {
	return s.Name, []fact{
		{"deployment", s.Deployment},
		{"kind", string(s.Kind)},
		{"models", listed(s.Models)},
		{"repeatable calls", yes(!s.Once)},
		{"check of fencing numbers", yes(s.Fenced)},
	}
}

func accountFacts(a Account) (string, []fact) {
	return a.Name, []fact{
		{"key digest", shortened(a.Key)},
		{"rate", fmt.Sprintf("%g tokens/s", a.Rate)},
		{"burst", fmt.Sprintf("%g tokens", a.Burst)},
		{"priority", fmt.Sprint(a.Priority)},
	}
}

func listed(list []string) string {
	if len(list) == 0 {
		return "none"
	}
	return strings.Join(list, " ")
}

func yes(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// shortened returns enough of a digest to tell two apart by eye.
func shortened(digest string) string {
	const shown = 12
	if len(digest) <= shown {
		return digest
	}
	return digest[:shown] + "…"
}
