// Command review plays the cases of a review. It starts the project's own program and
// stand-ins for its callers, its servers and the platform's store.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// limit is how long a case may take; its processes are then ended.
const limit = 100 * time.Second

var errTooLong = errors.New("it took too long")

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	cantRun = 2
)

// outcome is how a case ended.
type outcome struct {
	broken bool
	err    error
}

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(s *system, trouble bool) (bool, error){}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "worker" {
		fmt.Fprintln(os.Stderr, runWorker(os.Args[2:]))
		os.Exit(cantRun)
	}
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: review CASE ROOT FOLDER")
		os.Exit(cantRun)
	}
	wasBroken, err := play(os.Args[1], os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(cantRun)
	case wasBroken:
		fmt.Println("the rule was broken")
		os.Exit(broken)
	}
	fmt.Println("the rule held")
	os.Exit(held)
}

// play runs a case and writes its record to a folder.
func play(name, root, folder string, trouble bool) (bool, error) {
	run, ok := cases[name]
	if !ok {
		return false, fmt.Errorf("no case %q", name)
	}
	root, err := filepath.Abs(root)
	if err != nil {
		return false, err
	}
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return false, err
	}
	r.add("case=%s trouble=%v", name, trouble)
	s, err := newSystem(root, r)
	if err != nil {
		return false, err
	}
	done := make(chan outcome, 1)
	go func() {
		wasBroken, err := run(s, trouble)
		done <- outcome{wasBroken, err}
	}()
	o := outcome{err: errTooLong}
	select {
	case o = <-done:
	case <-time.After(limit):
	}
	err = errors.Join(o.err, s.close())
	r.add("broken=%v error=%v", o.broken, err)
	return o.broken, err
}
