package manifest_test

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/pkg/manifest"
)

// TestReferencePage guards against an operators' reference whose fields differ
// from those of the types.
func TestReferencePage(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/manifest.md")
	require.NoError(t, err)
	for section, entry := range map[string]any{
		"manifest": manifest.Manifest{}, "deployments": manifest.Deployment{}, "zones": manifest.Zone{},
		"models": manifest.Model{}, "services": manifest.Service{}, "accounts": manifest.Account{},
	} {
		require.Equal(t, fieldNames(reflect.TypeOf(entry)), documented(string(page), section), section)
	}
}

func fieldNames(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		if name := t.Field(i).Tag.Get("json"); name != "" {
			names = append(names, name)
		}
	}
	return names
}

// documented returns the fields in the first column of the table of a section.
func documented(page, section string) []string {
	_, text, _ := strings.Cut(page, "\n## "+section+"\n")
	text, _, _ = strings.Cut(text, "\n## ")
	var names []string
	for line := range strings.Lines(text) {
		if rest, ok := strings.CutPrefix(line, "| `"); ok {
			name, _, _ := strings.Cut(rest, "`")
			names = append(names, name)
		}
	}
	return names
}
