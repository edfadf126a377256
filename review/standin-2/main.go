// Command review-2 plays the cases of an independent review: it starts stand-ins of the
// users' store, workers and clients, and the project's own processes, on loopback
// addresses.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// longest is how long a case may take.
const longest = 115 * time.Second

var errUsage = errors.New("usage: review-2 CASE FOLDER")

// cases are the cases by name. They report whether the rule was broken.
var cases = map[string]func(w *world) (bool, error){
	"returning":     returning,
	"reborn":        reborn,
	"long-chat":     func(w *world) (bool, error) { return crashingPart(w, 70) },
	"foreign-entry": foreignEntry,
	"short-chat":    func(w *world) (bool, error) { return crashingPart(w, 4) },
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "worker" {
		fmt.Fprintln(os.Stderr, runWorker(os.Args[2:]))
		os.Exit(failed)
	}
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, errUsage)
		return failed
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer w.close()
	time.AfterFunc(longest, func() {
		w.note("not done within %s", longest)
		w.close()
		os.Exit(failed)
	})
	was, err := cases[os.Args[1]](w)
	switch {
	case err != nil:
		w.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return failed
	case was:
		w.note("the rule was broken")
		fmt.Println("the rule was broken")
		return broken
	}
	w.note("the rule held")
	fmt.Println("the rule held")
	return held
}
