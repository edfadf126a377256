package platform_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/platform"
)

// invalidEntries are entries of an instance list that name no instance to use.
var invalidEntries = map[string]string{
	"nested":                   nested(9_000),
	"nested deeper":            nested(100_000),
	"nested in a field":        `{"name":"x","kind":"endpoint","addr":"10.0.0.9:80","extra":` + nested(100_000) + `}`,
	"another type":             `7`,
	"null":                     `null`,
	"a list":                   `["x"]`,
	"no fields":                `{}`,
	"a number for a name":      `{"name":9223372036854775808,"addr":"10.0.0.9:80"}`,
	"a number that is too big": `{"name":"x","addr":"10.0.0.9:80","leaving":1e400}`,
	"a number of many digits":  `{"name":"x","addr":"10.0.0.9:80","zone":` + strings.Repeat("9", 5_000) + `}`,
	"a port out of range":      `{"name":"x","addr":"10.0.0.9:70000"}`,
	"a negative port":          `{"name":"x","addr":"10.0.0.9:-1"}`,
	"no port":                  `{"name":"x","addr":"10.0.0.9:0"}`,
	"a peer's port":            `{"name":"x","kind":"node","addr":"10.0.0.9:80","peer":"10.0.0.9:70000"}`,
	"an address without port":  `{"name":"x","addr":"10.0.0.9"}`,
	"a name given twice":       `{"name":"n1","addr":"10.0.0.9:80"}`,
	"no JSON":                  `{"name":nonsense}`,
	"brackets in a text":       `{"name":"]},[\"","addr":"]"}`,
}

func nested(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }

func entryOf(name string, port int) string {
	return fmt.Sprintf(`{"name":%q,"kind":"endpoint","zone":"a","service":"s","addr":"10.0.0.1:%d"}`, name, port)
}

func names(list []kernel.Instance) []string {
	var all []string
	for _, i := range list {
		all = append(all, i.Name)
	}
	return all
}

// Guards against a fleet that no longer follows the instance list, because one entry is
// invalid: endpoints that joined were not used, and those that left were.
func TestInvalidEntryLeavesTheOthers(t *testing.T) {
	for name, invalid := range invalidEntries {
		t.Run(name, func(t *testing.T) {
			runReader(t, platform.ReaderConfig{}, func(t *testing.T, f *fakePlatform, s *fakeSink, _ *platform.Reader) {
				for version, list := range []string{
					entryOf("n1", 1),
					entryOf("n1", 1) + "," + invalid + "," + entryOf("n2", 2),
					entryOf("n1", 1) + " , " + entryOf("n3", 3) + ",\n" + invalid,
				} {
					f.put(platform.KeyInstances, platform.Value{Version: uint64(version + 1), Data: []byte("[" + list + "]\n")})
					time.Sleep(applyTimeout)
				}
				got := s.newestList()
				require.EqualValues(t, 3, got.Version)
				require.Equal(t, []string{"n1", "n3"}, names(got.List))
				require.Equal(t, "10.0.0.1:1", got.List[0].Addr.String())
			})
		})
	}
}

// Guards against a list that is cut, or no list, which looks as if all instances had left.
func TestMalformedListsAreRefused(t *testing.T) {
	valid := "[" + entryOf("n1", 1) + "," + entryOf("n2", 2) + "]"
	for _, text := range []string{
		"", "null", "{}", "7", "[", "]", "[]]", "[[]", "[] []", "[]x", "[{}]", "[,]", "[" + nested(100_000) + "]",
		"[" + entryOf("n1", 1) + ",", "[" + entryOf("n1", 1) + "}", `["`, valid + valid, "x" + valid,
		valid[:len(valid)/2], valid[:len(valid)-1],
	} {
		_, _, err := platform.ParseInstances([]byte(text))
		require.ErrorIs(t, err, platform.ErrValue, "%.50s", text)
	}
	for _, text := range []string{"[]", " [ ] \n"} {
		list, invalid, err := platform.ParseInstances([]byte(text))
		require.NoError(t, err)
		require.Empty(t, invalid)
		require.Empty(t, list)
	}
}

// Whatever the bytes, a list that is read names each instance once, and nothing panics.
func FuzzParseInstances(f *testing.F) {
	f.Add([]byte("[" + entryOf("n1", 1) + "," + entryOf("n2", 2) + "]"))
	for _, invalid := range invalidEntries {
		if len(invalid) < 1_000 {
			f.Add([]byte("[" + invalid + "," + entryOf("n1", 1) + "]"))
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		list, _, err := platform.ParseInstances(data)
		seen := map[string]bool{}
		for _, i := range list {
			require.NoError(t, err)
			require.True(t, i.Name != "" && i.Addr.IsValid() && !seen[i.Name])
			seen[i.Name] = true
		}
	})
}
