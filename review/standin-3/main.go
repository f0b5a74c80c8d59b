//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scripts holds the scripts by name. Each returns an exit code.
var scripts = map[string]func(f *fleet, trouble bool) int{
	"foreign-beats":   foreignBeats,
	"moved-databases": movedDatabases,
	"unnamed-service": unnamedService,
}

// serve serves HTTP on a free port of loopback.
func serve(handler http.Handler) (*http.Server, string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	return server, listener.Addr().String(), nil
}

func main() {
	// Daemons end with the thread that started them.
	runtime.LockOSThread()
	os.Exit(run())
}

// run plays the script that the arguments name: NAME ROOT RECORD. TROUBLE=0 leaves the disruption
// out, KEEP=1 keeps the daemons' logs.
func run() int {
	if len(os.Args) != 4 || scripts[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 SCRIPT ROOT RECORD")
		return exitNotRun
	}
	f, err := newFleet(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	keep := os.Getenv("KEEP") == "1"
	defer f.close(keep)
	if keep {
		fmt.Println("logs in", f.folder)
	}
	code := scripts[os.Args[1]](f, os.Getenv("TROUBLE") != "0")
	text := map[int]string{exitHeld: "the rule held", exitBroken: "the rule was broken", exitNotRun: "the case could not run"}[code]
	f.note("result   %s", text)
	fmt.Println(text)
	return code
}

// failed notes why a case could not run.
func (f *fleet) failed(reason string) int {
	f.note("not run  %s", reason)
	return exitNotRun
}
