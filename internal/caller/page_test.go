package caller_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRefusalsPage guards against a refusal type that is missing from the
// operators' page, or listed there but not in the source.
func TestRefusalsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/refusals.md")
	require.NoError(t, err)
	_, table, _ := strings.Cut(string(page), "| `type` |")
	listed := map[string]bool{}
	for _, match := range regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\|").FindAllStringSubmatch(table, -1) {
		listed[match[1]] = true
	}
	kinds := map[string]bool{}
	for _, dir := range []string{".", "../route"} {
		files, err := filepath.Glob(filepath.Join(dir, "*.go"))
		require.NoError(t, err)
		for _, file := range files {
			if !strings.HasSuffix(file, "_test.go") {
				collectKinds(t, file, kinds)
			}
		}
	}
	require.Equal(t, kinds, listed)
}

// collectKinds adds the string of every field kind of a composite literal, of
// every first argument of notFound and of every constant of type Reason.
func collectKinds(t *testing.T, file string, kinds map[string]bool) {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
	require.NoError(t, err)
	add := func(e ast.Expr) {
		if lit, ok := e.(*ast.BasicLit); ok && lit.Kind == token.STRING {
			if text, err := strconv.Unquote(lit.Value); err == nil && text != "" {
				kinds[text] = true
			}
		}
	}
	ast.Inspect(parsed, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.KeyValueExpr:
			if key, ok := n.Key.(*ast.Ident); ok && key.Name == "kind" {
				add(n.Value)
			}
		case *ast.CallExpr:
			if f, ok := n.Fun.(*ast.Ident); ok && f.Name == "notFound" {
				add(n.Args[0])
			}
		case *ast.ValueSpec:
			if typ, ok := n.Type.(*ast.Ident); ok && typ.Name == "Reason" {
				add(n.Values[0])
			}
		}
		return true
	})
}
