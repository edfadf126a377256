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
	// turnsPerChat is how many of a caller's turns pass before one of its chats
	// ends and another begins.
	turnsPerChat = 9
	// Of every cycle of requests one is plain and one must not be repeated.
	cycle     = 6
	plainTurn = 2
	onceTurn  = 4
	// maxTries is how often a caller asks again when it is told to come back.
	maxTries = 5
)

type (
	// caller is one application that asks on behalf of its chats.
	caller struct {
		demo   *Demo
		number int
		client *entry.Client
		chats  []*entry.Chat
	}

	// mark is what tells one request from all others.
	mark string
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

// work sends one request after the other until the demo's time is over.
func (c *caller) work(ctx context.Context) {
	defer c.client.Close()
	end := c.demo.started.Add(c.demo.config.Duration)
	last := end.Add(c.demo.config.Overtime)
	for i := 0; time.Now().Before(end) || time.Now().Before(last) && !c.demo.joinedWorks(); i++ {
		m := mark(fmt.Sprintf("request-%d-%d.", c.number, i))
		switch i % cycle {
		case plainTurn:
			c.repeat(ctx, kindPlain, m, false, c.call)
		case onceTurn:
			c.repeat(ctx, kindOnce, m, true, c.call)
		default:
			chat := c.chat(i)
			c.repeat(ctx, kindChat, m, false, func(ctx context.Context, m mark, o entry.Options) error {
				return c.turn(ctx, chat, m, o)
			})
		}
	}
}

// chat returns the chat of a turn. Chats end after some turns and others begin,
// so that an endpoint that joined finds chats that are nowhere yet.
func (c *caller) chat(turn int) *entry.Chat {
	place := turn % len(c.chats)
	if turn%turnsPerChat == 0 {
		name := fmt.Sprintf("caller-%d-chat-%d-%d", c.number, place, turn)
		c.chats[place] = c.client.Chat(name, c.demo.model)
	}
	return c.chats[place]
}

// repeat sends a request until it is answered or must not be sent again.
func (c *caller) repeat(ctx context.Context, k kind, m mark, once bool, send func(context.Context, mark, entry.Options) error) {
	t := c.demo.tally
	t.sent(k)
	o := entry.Options{Once: once}
	for try := 1; ; try++ {
		err := send(ctx, m, o)
		if err == nil {
			t.whole(k, m)
			return
		}
		after, ok := c.client.Again(ctx, err, &o)
		if !ok || try == maxTries {
			t.failed(k, m, err)
			return
		}
		t.again(k)
		time.Sleep(after)
	}
}

// turn asks within a chat.
func (c *caller) turn(ctx context.Context, chat *entry.Chat, m mark, o entry.Options) error {
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
	c.demo.tally.first(time.Since(start))
	if _, err := s.ReadAll(); err != nil {
		return err
	}
	if !holds(text, string(m)) {
		c.demo.tally.crossed(m)
	}
	c.demo.tally.reuse(len(chat.Messages()) > 2, s.Usage())
	return nil
}

// call calls the plain service.
func (c *caller) call(ctx context.Context, m mark, o entry.Options) error {
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
	if !holds(string(r.Body), string(m)) {
		c.demo.tally.crossed(m)
	}
	return nil
}
