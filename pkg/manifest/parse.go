package manifest

import (
	"encoding/json"
	"fmt"
)

// Parse decodes a manifest strictly and indexes it. It returns all unknown,
// duplicate, missing and mistyped fields and all contradictions together, as
// Problems.
func Parse(data []byte) (*Manifest, error) {
	m := &Manifest{}
	problems, valid := decode(data, m, "", nil)
	if valid {
		problems = append(problems, withLines(data, m.validate().without(problems))...)
	}
	if len(problems) > 0 {
		return nil, problems.err()
	}
	m.index = newIndex(m)
	return m, nil
}

// Encode returns the manifest as JSON for Parse. Manifests that differ only in the
// order of their entries have the same encoding.
func Encode(m *Manifest) ([]byte, error) {
	data, err := json.MarshalIndent(m.sorted(), "", "  ")
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrFormat, err)
	}
	return append(data, '\n'), nil
}

// withLines sets the lines of problems that were found in data. Recording the
// lines of all paths is costly, so it is done only if there is a problem.
func withLines(data []byte, problems Problems) Problems {
	if len(problems) == 0 {
		return nil
	}
	lines := map[string]int{}
	decode(data, &Manifest{}, "", lines)
	for i := range problems {
		problems[i].Line = lines[problems[i].Path]
	}
	return problems
}
