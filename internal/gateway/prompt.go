package gateway

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"bulrushhinge.example/bulrushhinge/internal/balance"
)

// maxPartTokens is the largest size of a part that is accepted: ten times the
// longest prompts that engines take today.
const maxPartTokens = 1_000_000

// sharedPart returns the name of the deepest part of a prompt that other requests
// share, and the prompt's size. It is the last part but one, as the last belongs
// to the request or its session; a prompt of one part is shared as a whole.
func sharedPart(model, prompt string) (string, balance.Prompt) {
	if prompt == "" {
		return "", balance.Prompt{}
	}
	parts := strings.Split(prompt, ",")
	last := len(parts) - 1
	id, shared := parsePart(parts[max(last-1, 0)])
	if last == 0 {
		return model + "/" + id, balance.Prompt{Shared: shared}
	}
	_, own := parsePart(parts[last])
	return model + "/" + id, balance.Prompt{Own: own, Shared: shared}
}

// parsePart returns a part's name and number of tokens, 0 if that is no plausible
// number, as callers may send anything.
func parsePart(text string) (string, int) {
	id, size, _ := strings.Cut(strings.TrimSpace(text), ":")
	tokens, err := strconv.Atoi(size)
	if err != nil || tokens < 0 || tokens > maxPartTokens {
		tokens = 0
	}
	return id, tokens
}

// fingerprint returns a hash of a request's path, account and body, which is the
// same when the request is sent again.
func fingerprint(path, account string, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(path)
	_, _ = d.WriteString("\x00" + account + "\x00")
	_, _ = d.Write(body)
	return d.Sum64()
}
