//go:build review

// Command standin plays the platform, the databases, the operator and the clients of the review's
// scripts, and starts the project's daemons as separate processes. It exits with 1 if the rule of
// the scenario was broken, 0 if it held, and 2 if the scenario could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin SCENARIO RECORD")
		os.Exit(2)
	}
	scenarios := map[string]func(*fleet, bool) (bool, error){"drain": drain, "linefeed": lineFeed, "replace": replace}
	play := scenarios[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown scenario")
		os.Exit(2)
	}
	os.Exit(run1(play, os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// run1 plays one scenario and returns the exit code.
func run1(play func(*fleet, bool) (bool, error), recordPath string, trouble bool) int {
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(folder)
	f, err := startFleet(folder, rec)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		rec.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	broken, err := play(f, trouble)
	switch {
	case err != nil:
		rec.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken:
		rec.note("result: the rule was broken")
		fmt.Println("broken")
		return 1
	}
	rec.note("result: the rule held")
	fmt.Println("held")
	return 0
}

func daemonPath() string { return filepath.Join("target", "hemlockmastd") }
