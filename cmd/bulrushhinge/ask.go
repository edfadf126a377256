package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"bulrushhinge.example/bulrushhinge/pkg/entry"
)

// askAttempts is the most attempts at one turn.
const askAttempts = 3

type askCommand struct {
	Entry     []netip.AddrPort `help:"Addresses of any nodes, to ask which ones to use." required:""`
	Key       string           `help:"Secret key of the client account." required:""`
	Model     string           `help:"Model to ask." required:""`
	Zone      string           `help:"Availability zone of the caller."`
	Chat      string           `help:"Name of the chat." default:"chat"`
	Once      bool             `help:"Send requests that must not be repeated."`
	Priority  int              `help:"Priority among the account's requests; higher goes first."`
	MaxTokens int              `help:"Most tokens of an answer; 0 leaves it to the engine."`
	Timeout   time.Duration    `help:"How long to wait for each whole answer." default:"2m"`
	Text      []string         `arg:"" optional:"" help:"One turn each; without any, turns are read from the standard input, one a line."`
}

// Run sends the turns of one chat in sequence.
func (c *askCommand) Run() error {
	client := entry.New(entry.Config{Addrs: c.Entry, Key: c.Key, Zone: c.Zone})
	defer client.Close()
	chat := client.Chat(c.Chat, c.Model)
	for _, text := range c.Text {
		if err := c.turn(client, chat, text); err != nil {
			return err
		}
	}
	if len(c.Text) > 0 {
		return nil
	}
	lines := bufio.NewScanner(os.Stdin)
	for lines.Scan() {
		if err := c.turn(client, chat, lines.Text()); err != nil {
			return err
		}
	}
	return lines.Err()
}

// turn sends a turn and prints the answer. It retries a failed attempt if that is
// safe, after the delay that the fleet requests.
func (c *askCommand) turn(client *entry.Client, chat *entry.Chat, text string) error {
	o := entry.Options{Once: c.Once, Priority: c.Priority, MaxTokens: c.MaxTokens}
	for attempt := 1; ; attempt++ {
		err := c.answer(chat, text, o)
		if err == nil {
			return nil
		}
		after, ok := client.Again(context.Background(), err, &o)
		if !ok || attempt == askAttempts {
			return err
		}
		fmt.Fprintf(os.Stderr, "%v; asking again in %v\n", err, after)
		time.Sleep(after)
	}
}

func (c *askCommand) answer(chat *entry.Chat, text string, o entry.Options) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	s, err := chat.Ask(ctx, text, o)
	if err != nil {
		return err
	}
	defer s.Close()
	for {
		piece, err := s.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			fmt.Fprintln(os.Stdout)
			return err
		}
		fmt.Fprint(os.Stdout, piece)
	}
	u := s.Usage()
	fmt.Fprintf(os.Stdout, "\n[node %v, request %s, %d of %d prompt tokens cached]\n",
		s.Node(), s.Request(), u.PromptDetails.CachedTokens, u.PromptTokens)
	return nil
}
