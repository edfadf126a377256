package manifest

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

type (
	// Problem is one fault of a manifest.
	Problem struct {
		// Path is the place, such as services[2].models[0]; "" is the whole.
		Path string
		// Line is the line of the place, counted from 1; 0 where the manifest
		// was not read from text.
		Line int
		// Text says what is wrong.
		Text string
	}

	// Problems is every fault of a manifest. As an error it is an ErrFormat.
	Problems []Problem
)

// String returns the problem in one line.
func (p Problem) String() string {
	path := p.Path
	if path == "" {
		path = "manifest"
	}
	if p.Line == 0 {
		return fmt.Sprintf("%s: %s", path, p.Text)
	}
	return fmt.Sprintf("line %d: %s: %s", p.Line, path, p.Text)
}

// Error returns the problems, one a line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return fmt.Sprintf("%v:\n%s", ErrFormat, strings.Join(lines, "\n"))
}

// Unwrap returns ErrFormat.
func (p Problems) Unwrap() error { return ErrFormat }

// err returns the problems in the order of their lines, nil where there are
// none.
func (p Problems) err() error {
	if len(p) == 0 {
		return nil
	}
	slices.SortStableFunc(p, func(a, b Problem) int {
		return cmp.Compare(a.Line, b.Line)
	})
	return p
}

// without returns the problems that others do not explain: one at a place that
// is missing or mistyped says nothing new.
func (p Problems) without(others Problems) Problems {
	return slices.DeleteFunc(p, func(own Problem) bool {
		return slices.ContainsFunc(others, func(other Problem) bool {
			return strings.HasPrefix(own.Path, other.Path) || strings.HasPrefix(other.Path, own.Path)
		})
	})
}
