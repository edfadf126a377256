package manifest_test

import (
	"bytes"
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bulrushhinge.example/bulrushhinge/pkg/manifest"
)

func sample(accounts int) *manifest.Manifest {
	m := &manifest.Manifest{
		Revision:    7,
		Deployments: []manifest.Deployment{{Name: "thies", Bound: 1.5}},
		Zones:       []manifest.Zone{{Name: "thies-a", Region: "thies"}, {Name: "thies-b", Region: "thies"}},
		Models:      []manifest.Model{{Name: "notices", Versions: []string{"1"}, Adapters: []string{}}},
		Services: []manifest.Service{
			{Name: "engines", Deployment: "thies", Kind: manifest.KindChat, Models: []string{"notices"}},
			{Name: "counter", Deployment: "thies", Kind: manifest.KindPlain, Models: []string{}, Once: true},
		},
		Accounts: []manifest.Account{},
	}
	for i := range accounts {
		name := fmt.Sprintf("account-%04d", i)
		m.Accounts = append(m.Accounts, manifest.Account{
			Name: name, Key: manifest.KeyDigest(name), Rate: 1000, Burst: 4000, Priority: i % 3,
		})
	}
	return m
}

func TestParseReportsAllProblems(t *testing.T) {
	text, err := manifest.Encode(sample(2))
	require.NoError(t, err)
	for _, c := range []struct {
		name string
		old  string
		new  string
		want []string
	}{
		{"unknown", `"bound": 1.5`, `"bound": 1.5, "weight": {"a": [1]}`, []string{"line 6: deployments[0].weight: is no field that is known here"}},
		{"duplicate", `"bound": 1.5`, `"bound": 1.5, "bound": 2`, []string{"line 6: deployments[0].bound: is given twice"}},
		{"missing", `"name": "thies-a",`, ``, []string{"line 10: zones[0].name: is missing"}},
		{"mistyped", `"bound": 1.5`, `"bound": "high"`, []string{"line 6: deployments[0].bound: must be a number"}},
		{"null list", `"zones": [`, `"zones": null, "areas": [`, []string{"line 9: zones: must be a list", "line 9: areas: is no field that is known here"}},
		{"negative", `"revision": 7`, `"revision": -7`, []string{"line 2: revision: must be a whole number from 0"}},
		{"zero", `"revision": 7`, `"revision": 0`, []string{"line 2: revision: must be 1 or more"}},
		{"bound", `"bound": 1.5`, `"bound": 0.5`, []string{"line 6: deployments[0].bound: 0.5 is below 1: no endpoint could carry the mean load"}},
		{"duplicate name", `"name": "thies-b"`, `"name": "thies-a"`, []string{`line 15: zones[1].name: "thies-a" is already the name of zones[0]`}},
		{"slash", `"name": "account-0000"`, `"name": "a/b"`, []string{`accounts[0].name: "a/b" is no name`}},
		{"unknown model and deployment", `"deployment": "thies",
      "kind": "chat",
      "models": [
        "notices"`, `"deployment": "dakar",
      "kind": "chat",
      "models": [
        "letters"`, []string{`services[1].deployment: there is no deployment "dakar"`, `services[1].models[0]: there is no model "letters"`}},
		{"digest", manifest.KeyDigest("account-0000"), "secret", []string{"accounts[0].key: must be a SHA-256 digest"}},
		{"same key", manifest.KeyDigest("account-0000"), manifest.KeyDigest("account-0001"), []string{`accounts[1].key: is also the key of account "account-0000"`}},
		{"rate", `"rate": 1000`, `"rate": 0`, []string{"accounts[0].rate: 0 is not above 0"}},
		{"kinds", `"kind": "plain"`, `"kind": "queue"`, []string{`services[0].kind: "queue" is neither "chat" nor "plain"`}},
		{"both at once", `"bound": 1.5
    }
  ],`, `"bond": 1.5
    }
  ], "name": "x",`, []string{"deployments[0].bound: is missing", "deployments[0].bond: is no field", "name: is no field"}},
		{"invalid JSON", `"priority": 1`, "\x00", []string{"invalid character"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Contains(t, string(text), c.old)
			_, err := manifest.Parse([]byte(strings.Replace(string(text), c.old, c.new, 1)))
			require.ErrorIs(t, err, manifest.ErrFormat)
			var problems manifest.Problems
			require.ErrorAs(t, err, &problems)
			require.Len(t, problems, len(c.want), err.Error())
			for i, want := range c.want {
				require.Contains(t, problems[i].String(), want)
			}
		})
	}
}

func TestParseReportsStructureAndContradictionsTogether(t *testing.T) {
	m := sample(1)
	m.Revision = 0
	text, err := manifest.Encode(m)
	require.NoError(t, err)
	_, err = manifest.Parse(bytes.Replace(text, []byte(`"rate"`), []byte(`"speed"`), 1))
	var problems manifest.Problems
	require.ErrorAs(t, err, &problems)
	require.Len(t, problems, 3, err.Error())
}

func TestParseRejectsNonManifest(t *testing.T) {
	for _, text := range []string{"", "{", "[]", "{} {}", "null", strings.Repeat("[", 1000)} {
		_, err := manifest.Parse([]byte(text))
		require.ErrorIs(t, err, manifest.ErrFormat, text)
	}
}

// TestParseMutatedText changes the text of a manifest at random positions. The
// result must be refused, or be equal after it is encoded and parsed again.
func TestParseMutatedText(t *testing.T) {
	text, err := manifest.Encode(sample(2))
	require.NoError(t, err)
	pieces := []string{"", "{", "}", "[", "]", ",", "null", `"name":`, `"a"`, "-1", "1e999", "0.5", "true", "\"", "\x00", "é"}
	rapid.Check(t, func(t *rapid.T) {
		data := string(text)
		for range rapid.IntRange(1, 4).Draw(t, "changes") {
			from := rapid.IntRange(0, len(data)).Draw(t, "from")
			to := min(len(data), from+rapid.IntRange(0, 8).Draw(t, "length"))
			data = data[:from] + rapid.SampledFrom(pieces).Draw(t, "piece") + data[to:]
		}
		m, err := manifest.Parse([]byte(data))
		if err != nil {
			require.ErrorIs(t, err, manifest.ErrFormat)
			return
		}
		encoded, err := manifest.Encode(m)
		require.NoError(t, err)
		again, err := manifest.Parse(encoded)
		require.NoError(t, err)
		require.Empty(t, manifest.Diff(m, again))
	})
}

func TestSplitJoinRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := sample(rapid.IntRange(0, 200).Draw(t, "accounts"))
		shuffled := m.Clone()
		shuffled.Accounts = rapid.Permutation(m.Accounts).Draw(t, "order")
		parts, err := manifest.Split(shuffled)
		require.NoError(t, err)
		same, err := manifest.Split(m)
		require.NoError(t, err)
		require.Equal(t, same.Digest, parts.Digest)
		joined := join(t, parts)
		before, err := manifest.Encode(m)
		require.NoError(t, err)
		after, err := manifest.Encode(joined)
		require.NoError(t, err)
		require.Equal(t, string(before), string(after))
	})
}

func TestJoinRejectsTruncatedAndMissingSections(t *testing.T) {
	parts, err := manifest.Split(sample(10))
	require.NoError(t, err)
	root, err := manifest.ParseRoot(parts.Values[parts.Digest])
	require.NoError(t, err)
	for _, d := range root.Sections() {
		whole := parts.Values[d]
		parts.Values[d] = whole[:len(whole)-1]
		_, err = manifest.Join(root, parts.Values)
		require.ErrorIs(t, err, manifest.ErrSection)
		delete(parts.Values, d)
		_, err = manifest.Join(root, parts.Values)
		require.ErrorIs(t, err, manifest.ErrSection)
		parts.Values[d] = whole
	}
}

func TestSplitRejectsInvalidManifestAndLargeSections(t *testing.T) {
	m := sample(0)
	m.Models[0].Name = "letters"
	_, err := manifest.Split(m)
	require.ErrorIs(t, err, manifest.ErrFormat)
	m = sample(0)
	for i := range 20000 {
		m.Zones = append(m.Zones, manifest.Zone{Name: fmt.Sprintf("zone-%030d", i), Region: "thies"})
	}
	_, err = manifest.Split(m)
	require.ErrorIs(t, err, manifest.ErrSize)
}

func TestAccountChangeAffectsRootAndOneShard(t *testing.T) {
	m := sample(1600)
	before, err := manifest.Split(m)
	require.NoError(t, err)
	m.Revision++
	m.Accounts[3].Rate++
	after, err := manifest.Split(m)
	require.NoError(t, err)
	values, size, whole := 0, 0, 0
	for d, data := range after.Values {
		whole += len(data)
		if _, same := before.Values[d]; !same {
			values++
			size += len(data)
		}
	}
	t.Logf("one change at 1600 accounts: %d values, %d bytes; the whole: %d bytes", values, size, whole)
	require.Equal(t, 2, values)
	require.Less(t, size*10, whole)
}

func TestDiffMessages(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(m *manifest.Manifest)
		want   []string
	}{
		{"nothing", func(*manifest.Manifest) {}, nil},
		{"revision", func(m *manifest.Manifest) { m.Revision++ }, []string{"manifest: revision changes from 7 to 8"}},
		{"rate", func(m *manifest.Manifest) { m.Accounts[0].Rate = 2e6 }, []string{"account account-0000: rate changes from 1000 tokens/s to 2e+06 tokens/s"}},
		{"bound", func(m *manifest.Manifest) { m.Deployments[0].Bound = 2 }, []string{"deployment thies: multiple of the mean load changes from 1.5 to 2"}},
		{"once", func(m *manifest.Manifest) { m.Services[0].Once = true }, []string{"service engines: repeatable calls changes from yes to no"}},
		{"removed zone", func(m *manifest.Manifest) { m.Zones = m.Zones[1:] }, []string{"availability zone thies-a goes away; it had region thies"}},
		{"added model", func(m *manifest.Manifest) {
			m.Models = append(m.Models, manifest.Model{Name: "short", Versions: []string{"1", "2"}})
		}, []string{"model short is new: versions 1 2, adapters none"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := sample(2)
			c.change(m)
			var got []string
			for _, change := range manifest.Diff(sample(2), m) {
				got = append(got, change.String())
			}
			require.Equal(t, c.want, got)
		})
	}
}

// TestDiffComparesAllFields guards against a new field that Diff does not compare,
// so that operators would accept its changes without seeing them.
func TestDiffComparesAllFields(t *testing.T) {
	for _, list := range []string{"Deployments", "Zones", "Models", "Services", "Accounts"} {
		entry := reflect.ValueOf(sample(1)).Elem().FieldByName(list).Index(0).Type()
		for i := range entry.NumField() {
			m := sample(1)
			f := reflect.ValueOf(m).Elem().FieldByName(list).Index(0).Field(i)
			switch f.Kind() {
			case reflect.String:
				f.SetString("other")
			case reflect.Bool:
				f.SetBool(!f.Bool())
			case reflect.Int:
				f.SetInt(f.Int() + 1)
			case reflect.Float64:
				f.SetFloat(f.Float() + 1)
			case reflect.Slice:
				f.Set(reflect.Append(f, reflect.ValueOf("other")))
			}
			require.NotEmpty(t, manifest.Diff(sample(1), m), "%s.%s", list, entry.Field(i).Name)
		}
	}
}

func TestLookupsAgreeWithAndWithoutIndex(t *testing.T) {
	plain := sample(50)
	parts, err := manifest.Split(plain)
	require.NoError(t, err)
	indexed := join(t, parts)
	for _, m := range []*manifest.Manifest{plain, indexed, indexed.Clone()} {
		a, ok := m.Account(manifest.KeyDigest("account-0033"))
		require.True(t, ok)
		require.Equal(t, "account-0033", a.Name)
		_, ok = m.Account(manifest.KeyDigest("nobody"))
		require.False(t, ok)
		s, ok := m.ServiceOf("notices")
		require.True(t, ok)
		require.Equal(t, "engines", s.Name)
		_, ok = m.Service("none")
		require.False(t, ok)
		d, ok := m.Deployment("thies")
		require.True(t, ok)
		require.InDelta(t, 1.5, d.Bound, 0)
		require.Equal(t, "thies", m.Region("thies-b"))
		require.Empty(t, m.Region("dakar"))
	}
}

func TestRecordVerifies(t *testing.T) {
	key := ed25519.NewKeyFromSeed(bytes.Repeat([]byte{1}, ed25519.SeedSize))
	other := ed25519.NewKeyFromSeed(bytes.Repeat([]byte{2}, ed25519.SeedSize))
	keys := []ed25519.PublicKey{key.Public().(ed25519.PublicKey)}
	digest := manifest.Sum([]byte("root"))
	change := func(r manifest.Record, f func(*manifest.Record)) manifest.Record { f(&r); return r }
	accepted := manifest.Accept(key, 7, digest)
	for _, c := range []struct {
		name   string
		record manifest.Record
		want   error
	}{
		{"accepted", accepted, nil},
		{"rejected", manifest.Reject(key, 7, digest), manifest.ErrRejected},
		{"other operator", manifest.Accept(other, 7, digest), manifest.ErrSignature},
		{"revision", change(accepted, func(r *manifest.Record) { r.Revision++ }), manifest.ErrSignature},
		{"digest", change(accepted, func(r *manifest.Record) { r.Digest = manifest.Sum(nil) }), manifest.ErrSignature},
		{"changed verdict", change(manifest.Reject(key, 7, digest), func(r *manifest.Record) { r.Verdict = manifest.VerdictAccept }), manifest.ErrSignature},
		{"unsigned", change(accepted, func(r *manifest.Record) { r.Signature = nil }), manifest.ErrSignature},
	} {
		t.Run(c.name, func(t *testing.T) {
			data, err := json.Marshal(c.record)
			require.NoError(t, err)
			r, err := manifest.ParseRecord(data)
			if c.record.Signature == nil {
				require.ErrorIs(t, err, manifest.ErrFormat)
			} else {
				require.NoError(t, err)
			}
			require.ErrorIs(t, r.Verify(keys), c.want)
		})
	}
}

func BenchmarkAccountLookup(b *testing.B) {
	for _, accounts := range []int{10, 160, 1600} {
		plain := sample(accounts)
		parts, err := manifest.Split(plain)
		require.NoError(b, err)
		digest := manifest.KeyDigest(fmt.Sprintf("account-%04d", accounts-1))
		for name, m := range map[string]*manifest.Manifest{"scan": plain, "index": join(b, parts)} {
			b.Run(fmt.Sprintf("%s/accounts=%d", name, accounts), func(b *testing.B) {
				for b.Loop() {
					m.Account(digest)
				}
			})
		}
	}
}

func BenchmarkJoinOneChange(b *testing.B) {
	for _, accounts := range []int{10, 160, 1600} {
		m := sample(accounts)
		first, err := manifest.Split(m)
		require.NoError(b, err)
		m.Accounts[0].Rate++
		second, err := manifest.Split(m)
		require.NoError(b, err)
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			var j manifest.Joiner
			for i := 0; b.Loop(); i++ {
				parts := []manifest.Parts{first, second}[i%2]
				root, err := manifest.ParseRoot(parts.Values[parts.Digest])
				require.NoError(b, err)
				_, err = j.Join(root, parts.Values)
				require.NoError(b, err)
			}
		})
	}
}

func join(t require.TestingT, parts manifest.Parts) *manifest.Manifest {
	root, err := manifest.ParseRoot(parts.Values[parts.Digest])
	require.NoError(t, err)
	m, err := manifest.Join(root, parts.Values)
	require.NoError(t, err)
	return m
}
