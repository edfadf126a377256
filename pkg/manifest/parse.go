package manifest

import (
	"encoding/json"
	"fmt"
)

// Parse reads a manifest strictly and indexes it. Unknown, doubled, missing and
// mistyped fields and contradictions are all returned at once, as Problems.
func Parse(data []byte) (*Manifest, error) {
	m := &Manifest{}
	problems, whole := decode(data, m, "", nil)
	if whole {
		problems = append(problems, located(data, m.contradictions().without(problems))...)
	}
	if len(problems) > 0 {
		return nil, problems.err()
	}
	m.index = newIndex(m)
	return m, nil
}

// Encode returns the manifest as text that Parse reads. Manifests that say the
// same give the same bytes, in whatever order their entries stand.
func Encode(m *Manifest) ([]byte, error) {
	data, err := json.MarshalIndent(m.sorted(), "", "  ")
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrFormat, err)
	}
	return append(data, '\n'), nil
}

// located adds lines to problems that were found in data. The lines of all
// places are many, so they are gathered only once a problem is known.
func located(data []byte, problems Problems) Problems {
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
