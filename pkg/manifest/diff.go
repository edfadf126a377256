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
	// ChangeKind says whether an entry was added, removed or changed.
	ChangeKind int

	// Change is one difference between two manifests.
	Change struct {
		Kind ChangeKind
		// What is the kind of entry, such as "account".
		What string
		Name string
		// Field describes the changed field; empty unless Kind is Changed.
		Field string
		// From and To are the values before and after; From is empty for an
		// added entry, To for a removed one.
		From string
		To   string
	}

	// property is the description and value of one field of an entry.
	property struct {
		field string
		value string
	}

	// entries maps the names of the entries of one list to their fields.
	entries map[string][]property
)

// Diff returns the differences between two manifests in the order in which
// operators review them: revision, deployments, zones, models, services, accounts.
// Within each list, entries are sorted by name.
func Diff(before, after *Manifest) []Change {
	var changes []Change
	if before.Revision != after.Revision {
		changes = append(changes, Change{
			Kind: Changed, What: "manifest", Field: "revision",
			From: fmt.Sprint(before.Revision), To: fmt.Sprint(after.Revision),
		})
	}
	changes = append(changes, compare("deployment", before.Deployments, after.Deployments, deploymentProperties)...)
	changes = append(changes, compare("availability zone", before.Zones, after.Zones, zoneProperties)...)
	changes = append(changes, compare("model", before.Models, after.Models, modelProperties)...)
	changes = append(changes, compare("service", before.Services, after.Services, serviceProperties)...)
	return append(changes, compare("account", before.Accounts, after.Accounts, accountProperties)...)
}

// String returns the change as a sentence.
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

func compare[T any](what string, before, after []T, properties func(T) (string, []property)) []Change {
	a, b := entriesOf(before, properties), entriesOf(after, properties)
	all := maps.Clone(a)
	maps.Copy(all, b)
	var changes []Change
	for _, name := range slices.Sorted(maps.Keys(all)) {
		changes = append(changes, compareEntry(what, name, a[name], b[name])...)
	}
	return changes
}

func compareEntry(what, name string, before, after []property) []Change {
	switch {
	case before == nil:
		return []Change{{Kind: Added, What: what, Name: name, To: describe(after)}}
	case after == nil:
		return []Change{{Kind: Removed, What: what, Name: name, From: describe(before)}}
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

func entriesOf[T any](list []T, properties func(T) (string, []property)) entries {
	e := make(entries, len(list))
	for _, entry := range list {
		name, f := properties(entry)
		e[name] = f
	}
	return e
}

func describe(properties []property) string {
	list := make([]string, len(properties))
	for i, f := range properties {
		list[i] = f.field + " " + f.value
	}
	return strings.Join(list, ", ")
}

func deploymentProperties(d Deployment) (string, []property) {
	return d.Name, []property{{"multiple of the mean load", fmt.Sprint(d.Bound)}}
}

func zoneProperties(z Zone) (string, []property) {
	return z.Name, []property{{"region", z.Region}}
}

func modelProperties(m Model) (string, []property) {
	return m.Name, []property{{"versions", joinList(m.Versions)}, {"adapters", joinList(m.Adapters)}}
}

func serviceProperties(s Service) (string, []property) {
	return s.Name, []property{
		{"deployment", s.Deployment},
		{"kind", string(s.Kind)},
		{"models", joinList(s.Models)},
		{"repeatable calls", yesNo(!s.Once)},
		{"check of fencing numbers", yesNo(s.Fenced)},
	}
}

func accountProperties(a Account) (string, []property) {
	return a.Name, []property{
		{"key digest", shortDigest(a.Key)},
		{"rate", fmt.Sprintf("%g tokens/s", a.Rate)},
		{"burst", fmt.Sprintf("%g tokens", a.Burst)},
		{"priority", fmt.Sprint(a.Priority)},
	}
}

func joinList(list []string) string {
	if len(list) == 0 {
		return "none"
	}
	return strings.Join(list, " ")
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// shortDigest returns the start of a digest, enough to tell two apart by eye.
func shortDigest(digest string) string {
	const shown = 12
	if len(digest) <= shown {
		return digest
	}
	return digest[:shown] + "…"
}
