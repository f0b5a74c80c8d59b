//go:build review2

package main

import (
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"hemlockmast/platform/standin"
)

const (
	// lossAfter is the time from the first start of all machines until one loses power and its
	// disk, unless LOSS_AFTER_MS says otherwise, and backAfter the time from then until it starts
	// again.
	lossAfter = 600 * time.Millisecond
	backAfter = time.Second
	// firstStartTime is how long the operator repeats the first configuration.
	firstStartTime = 40 * time.Second
)

// playFirstStart starts a deployment for the first time. The machine that is the first of the
// seeds loses its disk meanwhile, and comes back with an empty one.
func playFirstStart(f *fleet, trouble bool) (broken bool, err error) {
	f.promoter = "127.0.0.1:9"
	var core []*daemon
	for i := range 3 {
		core = append(core, f.control(i, true))
		if err := f.start(core[i]); err != nil {
			return false, err
		}
	}
	if trouble {
		after := lossAfter
		if ms, err := strconv.Atoi(os.Getenv("LOSS_AFTER_MS")); err == nil {
			after = time.Duration(ms) * time.Millisecond
		}
		time.Sleep(after)
		f.signal(core[0], syscall.SIGKILL)
		if err := os.RemoveAll(filepath.Join(f.folder, core[0].name)); err != nil {
			return false, err
		}
		f.note("%s has lost its disk", core[0].name)
		time.Sleep(backAfter)
		core[0] = f.control(0, false)
		if err := f.start(core[0]); err != nil {
			return false, err
		}
	}
	isAcked := f.publish(standin.Configuration(1, 800), time.Now().Add(firstStartTime))
	readBack := 0
	for i := range 3 {
		status, answer := f.call(http.MethodGet, i, "/hemlockmast/config/get", "")
		f.note("core-%d answers a read of the configuration: %d %.60s", i+1, status, answer)
		if status == http.StatusOK {
			readBack++
		}
	}
	return !isAcked && readBack == 0, nil
}
