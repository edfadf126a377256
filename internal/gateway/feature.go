package gateway

import (
	"github.com/cespare/xxhash/v2"

	"bulrushhinge.example/bulrushhinge/internal/crash"
)

// Prefixes of the hashed text of parts.
const (
	partPrefix        = "part\x00"
	accountPartPrefix = "account-part\x00"
)

// features returns what may be the reason why a request ends endpoints: the request,
// which has the same path, account and body when it is sent again, and the parts of its
// prompt that other requests may share.
func features(path, account string, body []byte, parts []string) []crash.Feature {
	list := make([]crash.Feature, 0, 1+2*len(parts))
	list = append(list, crash.Feature{ID: fingerprint(path, account, body), Scope: crash.WholeRequest})
	for depth, id := range parts {
		list = append(
			list,
			crash.Feature{ID: xxhash.Sum64String(accountPartPrefix + account + "\x00" + id), Scope: crash.AccountPart(depth)},
			crash.Feature{ID: xxhash.Sum64String(partPrefix + id), Scope: crash.Part(depth)},
		)
	}
	return list
}

// fingerprint returns a hash of a request's path, account and body.
func fingerprint(path, account string, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(path)
	_, _ = d.WriteString("\x00" + account + "\x00")
	_, _ = d.Write(body)
	return d.Sum64()
}

// partPrints returns the prints of a request's parts, as logs show them.
func partPrints(list []crash.Feature) []string {
	var prints []string
	for _, f := range list {
		if f.Scope.AllAccounts() {
			prints = append(prints, f.Print())
		}
	}
	return prints
}
