// Package rapidseed makes property tests draw the same cases on every run.
package rapidseed

import (
	"flag"
	"os"
	"testing"
)

// Seed is what the cases are drawn from, unless the command line names another.
const Seed = "20300101"

// Run runs a package's tests; a TestMain calls it. Properties that fail are
// found again by the seed, so that no file is written. More flags of the tests
// may be given as name and value by turns.
func Run(m *testing.M, more ...string) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	values := append([]string{"rapid.seed", Seed, "rapid.nofailfile", "true"}, more...)
	for i := 0; i+1 < len(values); i += 2 {
		if given[values[i]] {
			continue
		}
		if err := flag.Set(values[i], values[i+1]); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
