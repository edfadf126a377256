package caller

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushhinge.example/bulrushhinge/internal/endpoint"
	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/route"
	"bulrushhinge.example/bulrushhinge/pkg/hint"
	"bulrushhinge.example/bulrushhinge/pkg/manifest"
)

const (
	bytesPerToken = 4
	defaultOutput = 256
	bearer        = "Bearer "
	// maxChatBytes is the maximum length of a chat name, in bytes.
	maxChatBytes = 256
	// maxOutput is the maximum number of tokens that a request may ask for.
	maxOutput = 1 << 20
)

var (
	errTimeout  = errors.New(HeaderTimeout + " must be a positive duration such as 30s")
	errLongName = fmt.Errorf("a name is over %d bytes", maxChatBytes)
	errOnce     = errors.New(HeaderOnce + " must be true or false")
)

// account returns the client account that the caller's key belongs to. The
// manifest has only the digests of keys.
func account(v *kernel.View, r *http.Request) (manifest.Account, *problem) {
	denied := &problem{status: http.StatusUnauthorized, kind: "unauthorized", text: "unknown key", ran: RanNot}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
	if !ok {
		return manifest.Account{}, denied
	}
	a, ok := v.Manifest.Account(manifest.KeyDigest(key))
	if !ok {
		return manifest.Account{}, denied
	}
	return a, nil
}

// baseRequest returns a request with the fields that chat and plain requests share.
func (h *Handler) baseRequest(r *http.Request, v *kernel.View, a manifest.Account) (route.Request, *problem) {
	req := route.Request{ID: rand.Uint64(), Account: a.Name, Zone: v.Self.Zone, Priority: a.Priority}
	timeout := h.config.Timeout
	if s := r.Header.Get(HeaderTimeout); s != "" {
		d, err := time.ParseDuration(s)
		if err != nil || d <= 0 {
			return req, badRequest(errTimeout)
		}
		timeout = min(d, h.config.MaxTimeout)
	}
	req.Deadline = time.Now().Add(timeout)
	if s := r.Header.Get(HeaderPriority); s != "" {
		priority, err := strconv.Atoi(s)
		if err != nil {
			return req, badRequest(fmt.Errorf("%s: %w", HeaderPriority, err))
		}
		req.Priority = min(priority, a.Priority)
	}
	given, err := hint.Parse(r.Header.Get(HeaderHint))
	if err != nil {
		return req, badRequest(err)
	}
	req.Hint = given
	if s := r.Header.Get(HeaderOnce); s != "" {
		req.AtMostOnce, err = strconv.ParseBool(s)
		if err != nil {
			return req, badRequest(errOnce)
		}
	}
	return req, nil
}

func parseChat(data []byte) (endpoint.ChatRequest, error) {
	var c endpoint.ChatRequest
	if err := json.Unmarshal(data, &c); err != nil {
		return c, fmt.Errorf("body: %w", err)
	}
	if c.Model == "" {
		return c, errors.New("body: model is missing")
	}
	if len(c.Messages) == 0 {
		return c, errors.New("body: messages are missing")
	}
	for i, m := range c.Messages {
		if m.Role == "" {
			return c, fmt.Errorf("body: messages[%d]: role is missing", i)
		}
	}
	if c.MaxTokens < 0 || c.MaxTokens > maxOutput {
		return c, fmt.Errorf("body: max_tokens must be from 0 to %d", maxOutput)
	}
	return c, nil
}

// chatName returns the name under which a chat's prefix is cached: the name given
// by the caller, or a digest of the chat's first turn, which every later turn
// repeats. It begins with the escaped account, so that accounts never share a
// chat: account "a" with chat "b/c" differs from account "a/b" with chat "c".
func chatName(r *http.Request, account string, c endpoint.ChatRequest) (string, *problem) {
	name := r.Header.Get(HeaderChat)
	if len(name) > maxChatBytes {
		return "", badRequest(errLongName)
	}
	if name == "" {
		name = firstTurnDigest(c)
	}
	return url.PathEscape(account) + "/" + name, nil
}

// firstTurnDigest returns a digest of the model and the messages up to the first one of
// the user.
func firstTurnDigest(c endpoint.ChatRequest) string {
	d := xxhash.New()
	_, _ = d.WriteString(c.Model)
	for _, m := range c.Messages {
		_, _ = d.WriteString(m.Role)
		_, _ = d.Write(m.Content)
		if m.Role == "user" {
			break
		}
	}
	return hex.EncodeToString(d.Sum(nil))
}
