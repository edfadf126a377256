package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// reborn has one worker of six partitioned from all nodes. It crashes behind the cut and
// starts again as a new boot with a new id, while it answers with neither a length nor
// chunks. The entry of the boot that crashed has not lapsed by the end of the cut.
func reborn(w *world) (bool, error) {
	if err := w.configure(7, streamRoute, unsafeRoute); err != nil {
		return false, err
	}
	w.linked = true
	if err := w.small("wuno96b", 6, 2, "--unframed"); err != nil {
		return false, err
	}
	var running sync.WaitGroup
	var mu sync.Mutex
	wrong, whole, sent := 0, 0, 24
	for i := range sent {
		a := ask{node: w.front(i % 2), method: http.MethodPost, path: "/pufi791/2f", pieces: 60, pace: 50 * time.Millisecond, stream: true, deadline: 12 * time.Second, body: fmt.Appendf(nil, "prompt %d", i)}
		if i%4 == 3 {
			a.path, a.stream = "/puxa403/2f", false
		}
		running.Go(func() {
			r := a.send()
			bad := a.wrong(r)
			w.note("request %s %s: status %d, %d bytes of %d, ended as complete %v, error %v, wrong %v", r.id, a.path, r.status, len(r.body), len(bytes.Join(answerBody(r.id, a.pieces, a.stream), nil)), r.whole, r.err, bad)
			mu.Lock()
			defer mu.Unlock()
			if bad {
				wrong++
			} else if r.whole && r.status == http.StatusOK {
				whole++
			}
		})
	}
	time.Sleep(time.Second)
	if w.trouble {
		w.note("the link of %s is cut", w.workers[0].name)
		w.links[0].set(true)
		time.Sleep(300 * time.Millisecond)
		w.note("%s is killed", w.workers[0].name)
		w.workers[0].kill()
		time.Sleep(500 * time.Millisecond)
		next, err := w.worker("i-02d9e6b4", "wuno96b", zones[0], 40, "--unframed", "--public", w.links[0].addr())
		if err != nil {
			return false, err
		}
		w.note("%s starts at its address", next.name)
		time.Sleep(1200 * time.Millisecond)
		if w.known("wuno96b") < 7 {
			return false, fmt.Errorf("the entry of the boot that crashed has lapsed too soon")
		}
		w.note("the link is whole again")
		w.links[0].set(false)
	}
	running.Wait()
	w.note("%d answers were whole, %d were taken for whole and are not", whole, wrong)
	if !w.trouble && whole != sent {
		return false, fmt.Errorf("%d of %d answers were whole without the disruption", whole, sent)
	}
	return wrong > 0, nil
}
