package entry_test

import (
	"context"
	"fmt"
	"io"
	"net/netip"

	"github.com/sirupsen/logrus"

	"bulrushhinge.example/bulrushhinge/internal/loopback"
	"bulrushhinge.example/bulrushhinge/pkg/entry"
)

// startFleet starts a small deployment for the examples.
func startFleet() *loopback.Fleet {
	c := loopback.Thies()
	c.Nodes = c.Nodes[:2]
	log := logrus.New()
	log.SetOutput(io.Discard)
	c.Log = log
	f, err := loopback.New(c)
	if err == nil {
		err = f.Ready(context.Background())
	}
	if err != nil {
		panic(err)
	}
	return f
}

// A chat of several turns keeps its messages and its hint, and uses another
// node if its own is gone.
func ExampleClient_Chat() {
	f := startFleet()
	defer f.Close()
	client := entry.New(entry.Config{
		Addrs: []netip.AddrPort{f.Caller("n1"), f.Caller("n2")},
		Key:   loopback.Secret("a1"),
		Zone:  "thies-a",
	})
	defer client.Close()
	chat := client.Chat("depositor-7", "notices")
	for _, question := range []string{"When does my deposit end?", "Renew it, please."} {
		stream, err := chat.Ask(context.Background(), question, entry.Options{MaxTokens: 3})
		if err != nil {
			fmt.Println(err)
			return
		}
		answer, err := stream.ReadAll()
		_ = stream.Close()
		fmt.Println(answer != "", err)
		_ = f.KillNode("n1")
	}
	fmt.Println(len(chat.Messages()), "messages")
	// Output:
	// true <nil>
	// true <nil>
	// 4 messages
}

func ExampleClient_Call() {
	f := startFleet()
	defer f.Close()
	client := entry.New(entry.Config{Addrs: []netip.AddrPort{f.Caller("n1")}, Key: loopback.Secret("a1")})
	defer client.Close()
	reply, err := client.Call(context.Background(), entry.Request{Service: "counter", Path: "balance", Body: []byte("{}")})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(reply.Status, len(reply.Body) > 0)
	// Output: 200 true
}

// A refusal says whether the request was run and when to retry.
func ExampleRefusal() {
	f := startFleet()
	defer f.Close()
	client := entry.New(entry.Config{Addrs: []netip.AddrPort{f.Caller("n1")}, Key: "not a key"})
	defer client.Close()
	_, err := client.Call(context.Background(), entry.Request{Service: "counter"})
	fmt.Println(err)
	// Output: entry: refused: unauthorized (not_run): unknown key
}
