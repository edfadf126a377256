package gateway

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// sharedPart returns the name of the deepest part of a prompt that further
// requests share: the last but one, as the last belongs to the request or its
// session. A prompt of one part is shared as a whole.
func sharedPart(model, prompt string) string {
	if prompt == "" {
		return ""
	}
	parts := strings.Split(prompt, ",")
	part := parts[max(len(parts)-2, 0)]
	id, _, _ := strings.Cut(strings.TrimSpace(part), ":")
	return model + "/" + id
}

// fingerprint is the same for requests that are sent again with the same path,
// account and body.
func fingerprint(path, account string, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(path)
	_, _ = d.WriteString("\x00" + account + "\x00")
	_, _ = d.Write(body)
	return d.Sum64()
}
