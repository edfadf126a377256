package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
)

// Roles of messages.
const (
	RoleUser      = "user"
	RoleAssistant = "assistant"
)

type (
	// Message is one turn of a chat.
	Message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}

	// Chat is a chat of several turns: it keeps its messages, its hint and the
	// nodes that it uses, so that each turn finds the prefix that the last one
	// cached. It is safe for concurrent use, one turn at a time.
	Chat struct {
		client   *Client
		name     string
		model    string
		cache    answerCache
		mu       sync.Mutex
		messages []Message
		hint     string
	}

	chatRequest struct {
		Model     string    `json:"model"`
		Messages  []Message `json:"messages"`
		MaxTokens int       `json:"max_tokens,omitempty"`
		Stream    bool      `json:"stream"`
	}
)

// Chat returns a chat of the given name with a model.
func (c *Client) Chat(name, model string) *Chat {
	return &Chat{client: c, name: name, model: model}
}

// Messages returns the messages so far, of both sides.
func (c *Chat) Messages() []Message {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.messages)
}

// Hint returns where the chat's prefix is cached, as last reported by the
// fleet.
func (c *Chat) Hint() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hint
}

// Ask sends a user's message and returns the stream of the answer. Both become
// part of the chat once the stream has been read to its end. The error is a
// *Refusal, or wraps ErrNoNode.
func (c *Chat) Ask(ctx context.Context, text string, o Options) (*Stream, error) {
	messages := append(c.Messages(), Message{Role: RoleUser, Content: text})
	body, err := json.Marshal(chatRequest{Model: c.model, Messages: messages, MaxTokens: o.MaxTokens, Stream: true})
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrAnswer, err)
	}
	r := call{Options: o, method: http.MethodPost, path: PathChat, chat: c.name, body: body, header: http.Header{
		"Content-Type": {"application/json"},
		HeaderChat:     {c.name},
	}}
	if hint := c.Hint(); hint != "" {
		r.header.Set(HeaderHint, hint)
	}
	s, err := c.client.send(ctx, &c.cache, r)
	if err != nil {
		return nil, err
	}
	if s.resp.StatusCode != http.StatusOK {
		defer s.resp.Body.Close()
		data, _ := io.ReadAll(io.LimitReader(s.resp.Body, maxAnswerBytes))
		return nil, parseRefusal(s.resp, data)
	}
	return newStream(s, func(answer string) {
		c.update(append(messages, Message{Role: RoleAssistant, Content: answer}), s.resp.Header.Get(HeaderHint))
	}), nil
}

func (c *Chat) update(messages []Message, hint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.messages = messages
	if hint != "" {
		c.hint = hint
	}
}
