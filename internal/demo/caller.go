package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/loopback"
	"bulrushhinge.example/bulrushhinge/pkg/entry"
)

const (
	chatsPerCaller = 4
	answerTokens   = 24
	// turnsPerChat is how many requests a caller sends before it replaces one of
	// its chats by a new one.
	turnsPerChat = 9
	// In every cycle of requests, the one at index plainTurn calls the plain
	// service and the one at onceTurn must not be repeated.
	cycle     = 6
	plainTurn = 2
	onceTurn  = 4
	// maxTries is how many times a caller sends a request in total.
	maxTries = 5
)

type (
	// caller simulates one application with several chats.
	caller struct {
		demo   *Demo
		number int
		client *entry.Client
		chats  []*entry.Chat
	}

	// requestMark is a text that is unique to one request and part of its body.
	requestMark string
)

func (d *Demo) newCaller(number int) *caller {
	zones := d.example.Manifest.Zones
	c := &caller{demo: d, number: number, client: entry.New(entry.Config{
		Addrs: d.addrs(), Key: loopback.Secret(d.account(number)), Zone: zones[number%len(zones)].Name,
	})}
	for i := range chatsPerCaller {
		c.chats = append(c.chats, c.client.Chat(fmt.Sprintf("caller-%d-chat-%d", number, i), d.model))
	}
	return c
}

// run sends one request after the other until the duration has elapsed, and
// during the overtime while the joined endpoint has got no request.
func (c *caller) run(ctx context.Context) {
	defer c.client.Close()
	end := c.demo.started.Add(c.demo.config.Duration)
	last := end.Add(c.demo.config.Overtime)
	for i := 0; time.Now().Before(end) || time.Now().Before(last) && !c.demo.joinedHasWork(); i++ {
		m := requestMark(fmt.Sprintf("request-%d-%d.", c.number, i))
		switch i % cycle {
		case plainTurn:
			c.sendWithRetries(ctx, kindPlain, m, false, c.call)
		case onceTurn:
			c.sendWithRetries(ctx, kindOnce, m, true, c.call)
		default:
			chat := c.chat(i)
			c.sendWithRetries(ctx, kindChat, m, false, func(ctx context.Context, m requestMark, o entry.Options) error {
				return c.turn(ctx, chat, m, o)
			})
		}
	}
}

// chat returns the chat of a turn. Every turnsPerChat turns it replaces one by a
// new chat, so that there are chats that no endpoint has cached yet for an
// endpoint that joins.
func (c *caller) chat(turn int) *entry.Chat {
	place := turn % len(c.chats)
	if turn%turnsPerChat == 0 {
		name := fmt.Sprintf("caller-%d-chat-%d-%d", c.number, place, turn)
		c.chats[place] = c.client.Chat(name, c.demo.model)
	}
	return c.chats[place]
}

// sendWithRetries sends a request until it is answered, may not be sent again or
// has been sent maxTries times.
func (c *caller) sendWithRetries(ctx context.Context, k kind, m requestMark, once bool, send func(context.Context, requestMark, entry.Options) error) {
	t := c.demo.tally
	t.addSent(k)
	o := entry.Options{Once: once}
	for try := 1; ; try++ {
		err := send(ctx, m, o)
		if err == nil {
			t.addComplete(k, m)
			return
		}
		after, ok := c.client.Again(ctx, err, &o)
		if !ok || try == maxTries {
			t.addFailure(k, m, err)
			return
		}
		t.addRetry(k)
		time.Sleep(after)
	}
}

// turn sends the next message of a chat and reads the streamed answer.
func (c *caller) turn(ctx context.Context, chat *entry.Chat, m requestMark, o entry.Options) error {
	o.MaxTokens = answerTokens
	start := time.Now()
	s, err := chat.Ask(ctx, "please answer "+string(m), o)
	if err != nil {
		return err
	}
	defer s.Close()
	text, err := s.Next()
	if err != nil {
		return err
	}
	c.demo.tally.addFirstToken(time.Since(start))
	if _, err := s.ReadAll(); err != nil {
		return err
	}
	if !contains(text, string(m)) {
		c.demo.tally.addMismatch(m)
	}
	c.demo.tally.addReuse(len(chat.Messages()) > 2, s.Usage())
	return nil
}

// call calls the plain service.
func (c *caller) call(ctx context.Context, m requestMark, o entry.Options) error {
	body, err := json.Marshal(m)
	if err != nil {
		return err
	}
	r, err := c.client.Call(ctx, entry.Request{
		Options: o, Service: c.demo.plain, Path: "call", Type: "application/json", Body: body,
	})
	if err != nil {
		return err
	}
	if !contains(string(r.Body), string(m)) {
		c.demo.tally.addMismatch(m)
	}
	return nil
}
