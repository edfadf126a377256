package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// soundNeeded is how many sound requests the rule asks for, before and after.
	soundNeeded = 20
	// pause is how long the chats rest before they return.
	pause = 62 * time.Second
)

type (
	// chats are the requests of the chats that one document's part of the prompt belongs to.
	chats struct {
		world   *world
		running sync.WaitGroup
		mu      sync.Mutex
		sound   []soundRequest
	}

	soundRequest struct {
		at    time.Time
		begun bool
	}
)

// Parts of the prompts: sound requests have otherPart where the others have crashPart.
const (
	crashPart = "e4402b7d"
	otherPart = "0aa71c55"
)

// ask sends a request of a chat through a node.
func (c *chats) ask(part string, node int) {
	a := ask{node: c.world.front(node), method: http.MethodPost, path: streamRoute.Prefix + "2f", pieces: 20, pace: 33 * time.Millisecond, stream: true, deadline: 12 * time.Second}
	a.body = fmt.Appendf(nil, "%x", rand.Uint64())
	a.prompt = fmt.Sprintf("5c1e07a2:800,91bd3f06:410,%s:250,7d20c4aa:90,%08x:30", part, rand.Uint32())
	at := time.Now()
	c.running.Go(func() {
		r := a.send()
		c.world.note("request %s with part %s: status %d, whole %v, error %v", r.id, part, r.status, r.whole, r.err)
		if part == crashPart {
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.sound = append(c.sound, soundRequest{at: at, begun: r.status == http.StatusOK})
	})
}

// begun returns how many sound requests were sent in a time, and how many of them began.
func (c *chats) begun(from, to time.Time) (begun, sent int) {
	for _, s := range c.sound {
		if s.at.Before(from) || s.at.After(to) {
			continue
		}
		sent++
		if s.begun {
			begun++
		}
	}
	return begun, sent
}

// returning has chats return after a pause. Some requests with a part that crashes each
// worker that begins to write an answer on it come first, and go on to come.
func returning(w *world) (bool, error) {
	chat := streamRoute
	chat.Service, chat.Sticky = "huvo11a", true
	if err := w.configure(7, chat); err != nil {
		return false, err
	}
	var flags []string
	if w.trouble {
		flags = []string{"--crash-part", crashPart}
	}
	if err := w.small("huvo11a", 6, 2, flags...); err != nil {
		return false, err
	}
	for _, p := range w.workers {
		go w.restarts(p, 2*time.Second)
	}
	c := &chats{world: w}
	first := time.Now()
	for n := range 50 {
		c.ask(otherPart, n%2)
		time.Sleep(100 * time.Millisecond)
	}
	rest := time.Now()
	time.Sleep(pause)
	w.note("the chats return")
	for n := range 4 {
		c.ask(crashPart, n%2)
		time.Sleep(800 * time.Millisecond)
	}
	for n := range 180 {
		if n%8 == 0 {
			c.ask(crashPart, n/8%2)
		}
		c.ask(otherPart, n%2)
		time.Sleep(100 * time.Millisecond)
	}
	last := time.Now()
	c.running.Wait()
	from := last.Add(-12 * time.Second)
	if crashes := w.crashTimes(); len(crashes) > 0 {
		from = crashes[min(len(crashes), crashesBefore)-1].Add(2 * contact)
		w.note("%d crashes, the last that counts at %s", len(crashes), from.Add(-2*contact).Format(stampFormat))
	}
	usual, before := c.begun(first, rest)
	begun, after := c.begun(from, last)
	w.note("of the sound requests %d of %d began before the pause, and %d of %d later than %s after the crashes", usual, before, begun, after, 2*contact)
	if before < soundNeeded || after < soundNeeded || usual < before {
		return false, fmt.Errorf("too few sound requests")
	}
	return 2*begun*before < usual*after, nil
}
