package manifest_test

import (
	"crypto/ed25519"
	"fmt"

	"bulrushhinge.example/bulrushhinge/pkg/manifest"
)

func ExampleParse() {
	_, err := manifest.Parse([]byte(`{
  "revision": 1,
  "deployments": [{"name": "thies", "bound": 0.5, "weight": 3}],
  "zones": [], "models": [], "services": [],
  "accounts": []
}`))
	fmt.Println(err)
	// Output:
	// manifest: bad format:
	// line 3: deployments[0].weight: is no field that is known here
	// line 3: deployments[0].bound: 0.5 is below 1: no endpoint could carry the mean load
}

func ExampleDiff() {
	before := &manifest.Manifest{Revision: 1, Zones: []manifest.Zone{{Name: "thies-a", Region: "thies"}}}
	after := before.Clone()
	after.Revision = 2
	after.Zones[0].Region = "dakar"
	for _, c := range manifest.Diff(before, after) {
		fmt.Println(c)
	}
	// Output:
	// manifest: revision changes from 1 to 2
	// availability zone thies-a: region changes from thies to dakar
}

func ExampleSplit() {
	m := &manifest.Manifest{Revision: 1}
	parts, err := manifest.Split(m)
	if err != nil {
		fmt.Println(err)
		return
	}
	root, err := manifest.ParseRoot(parts.Values[parts.Digest])
	if err != nil {
		fmt.Println(err)
		return
	}
	joined, err := manifest.Join(root, parts.Values)
	fmt.Println(joined.Revision, len(root.Accounts), err)
	// Output: 1 64 <nil>
}

func ExampleRecord_Verify() {
	key := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	public, _ := key.Public().(ed25519.PublicKey)
	record := manifest.Reject(key, 7, manifest.Sum([]byte("root")))
	fmt.Println(record.Verify([]ed25519.PublicKey{public}))
	// Output: manifest: revision rejected by operators: revision 7
}
