package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// contact is contact_ms of the settings, and crashesBefore and allowed are those of
	// the rule: after so many crashes, and contact later, so many requests may still
	// reach workers.
	contact       = 3 * time.Second
	crashesBefore = 5
	allowed       = 3
)

// crashingPart has one part of a prompt, the last but one of a chat's shared parts, crash
// each worker that begins to write an answer on it.
func crashingPart(w *world, shared int) (bool, error) {
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
	turns := make([]string, shared)
	for i := range turns {
		turns[i] = fmt.Sprintf("%08x:40", 0x5c1e0000+i)
	}
	sound := strings.Join(turns, ",")
	turns[shared-2] = crashPart + ":40"
	crashing := strings.Join(turns, ",")
	var running sync.WaitGroup
	ask := func(prompt, kind string, node int) {
		a := ask{node: w.front(node), method: http.MethodPost, path: chat.Prefix + "2f", pieces: 10, pace: 20 * time.Millisecond, stream: true, deadline: 12 * time.Second}
		a.body = fmt.Appendf(nil, "%x", rand.Uint64())
		a.prompt = fmt.Sprintf("%s,%08x:30", prompt, rand.Uint32())
		running.Go(func() {
			r := a.send()
			w.note("%s request %s: status %d, whole %v, error %v", kind, r.id, r.status, r.whole, r.err)
		})
	}
	end := time.Now().Add(30 * time.Second)
	for n := 0; time.Now().Before(end); n++ {
		ask(sound, "sound", n%2)
		if n%8 == 7 {
			ask(crashing, "other", n/8%2)
		}
		time.Sleep(100 * time.Millisecond)
	}
	running.Wait()
	return w.judgeCrashes(), nil
}

// judgeCrashes counts the requests that reached workers later than contact after the
// fifth crash.
func (w *world) judgeCrashes() bool {
	crashes := w.crashTimes()
	if len(crashes) < crashesBefore {
		w.note("%d crashes", len(crashes))
		return false
	}
	late := 0
	for _, at := range crashes {
		if at.Sub(crashes[crashesBefore-1]) > contact {
			late++
		}
	}
	w.note("%d crashes, the fifth at %s; %d of these requests reached workers later than %s after it, %d may", len(crashes), crashes[crashesBefore-1].Format(stampFormat), late, contact, allowed)
	return late > allowed
}
