//go:build review2

package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxLength bounds the run of a case.
const maxLength = 115 * time.Second

// endEarly ends the case, with all its processes, when it gets a signal or takes too long.
func (f *fleet) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case s := <-signals:
		f.note("the case was ended by %s", s)
	case <-time.After(maxLength):
		f.note("the case took too long")
	}
	f.close(0)
	os.Exit(2)
}

func main() {
	cases := map[string]func(f *fleet, trouble bool) (broken bool, err error){
		"first-start": playFirstStart,
		"leaving":     playLeaving,
		"stop":        playStop,
		"newcomer":    playNewcomer,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		os.Exit(2)
	}
	f, err := newFleet(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	go f.endEarly()
	broken, err := cases[os.Args[1]](f, os.Getenv("TROUBLE") != "0")
	var not *impossible
	switch {
	case errors.As(err, &not):
		f.note("the case could not run: %s", err)
	case err != nil:
		f.note("the case failed: %s", err)
	case broken:
		f.note("the rule was broken")
	default:
		f.note("the rule held")
	}
	f.close(25)
	switch {
	case err != nil:
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}
