package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// crashAll has all workers of a service crash at the same time while they answer with
// neither a length nor chunks.
func crashAll(w *world) (bool, error) {
	if err := w.configure(7, streamRoute, unsafeRoute); err != nil {
		return false, err
	}
	if err := w.small("wuno96b", 3, 2, "--unframed"); err != nil {
		return false, err
	}
	var running sync.WaitGroup
	var mu sync.Mutex
	wrong, whole := 0, 0
	for i := range 20 {
		a := ask{node: w.front(i % 2), method: http.MethodPost, path: "/pufi791/2f", pieces: 40, pace: 50 * time.Millisecond, stream: true, deadline: 12 * time.Second, body: []byte(fmt.Sprint("prompt ", i))}
		if i%4 == 3 {
			a.path, a.stream = "/puxa403/2f", false
		}
		running.Go(func() {
			r := a.send()
			pieces := 0
			for _, b := range r.body {
				if b == '\n' {
					pieces++
				}
			}
			if a.stream {
				pieces /= 3
			}
			bad := a.wrong(r)
			w.note("request %s %s: status %d, %d of %d pieces, ended as complete %v, error %v, wrong %v", r.id, a.path, r.status, pieces, a.pieces, r.whole, r.err, bad)
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
		for _, p := range w.workers {
			w.note("%s is killed", p.name)
			p.signal(syscall.SIGKILL)
		}
		time.Sleep(2 * time.Second)
		for _, p := range w.workers {
			<-p.done
			w.note("%s starts again", p.name)
			if err := p.start(); err != nil {
				return false, err
			}
		}
	}
	running.Wait()
	w.note("%d answers were whole, %d were taken for whole and are not", whole, wrong)
	if !w.trouble && whole != 20 {
		return false, fmt.Errorf("%d of 20 answers were whole without the disruption", whole)
	}
	return wrong > 0, nil
}
