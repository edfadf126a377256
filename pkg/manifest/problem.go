package manifest

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

type (
	// Problem is one error in a manifest, root or record.
	Problem struct {
		// Path is the path, such as services[2].models[0]; "" is the whole
		// manifest.
		Path string
		// Line is the line of Path, counted from 1; 0 if the manifest was not
		// read from text.
		Line int
		// Text describes the problem.
		Text string
	}

	// Problems holds all problems of a manifest. It is an error that wraps
	// ErrFormat.
	Problems []Problem
)

// String returns the problem on one line.
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

// Error returns the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return fmt.Sprintf("%v:\n%s", ErrFormat, strings.Join(lines, "\n"))
}

// Unwrap returns ErrFormat.
func (p Problems) Unwrap() error { return ErrFormat }

// err returns the problems sorted by line, or nil if there are none.
func (p Problems) err() error {
	if len(p) == 0 {
		return nil
	}
	slices.SortStableFunc(p, func(a, b Problem) int {
		return cmp.Compare(a.Line, b.Line)
	})
	return p
}

// without returns the problems whose paths do not overlap with those of others. A
// contradiction at a path that is missing or mistyped is only a consequence.
func (p Problems) without(others Problems) Problems {
	return slices.DeleteFunc(p, func(own Problem) bool {
		return slices.ContainsFunc(others, func(other Problem) bool {
			return strings.HasPrefix(own.Path, other.Path) || strings.HasPrefix(other.Path, own.Path)
		})
	})
}
