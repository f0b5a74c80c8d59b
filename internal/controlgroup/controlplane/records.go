package controlplane

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"

	controlpb "hemlockmast/api/control"
	"hemlockmast/internal/controlgroup/groupstate"
	"hemlockmast/internal/controlgroup/quorum"
)

// recordsRetry is the wait after a control daemon did not answer.
const recordsRetry = 200 * time.Millisecond

// Records follows the records of database groups. An old record makes fewer
// endpoints count, never more, so that no answer need be current.
type Records struct {
	urls   []string
	client *http.Client
	log    logr.Logger
	notify func()

	// mu guards the fields below.
	mu      sync.RWMutex
	records map[string]*controlpb.GroupRecord
}

// NewRecords returns a follower that asks the control daemons at urls in turn;
// notify is called after each change.
func NewRecords(urls []string, log logr.Logger, notify func()) *Records {
	return &Records{
		urls: urls, log: log, notify: notify,
		client:  &http.Client{Timeout: groupsWait + callTimeout},
		records: map[string]*controlpb.GroupRecord{},
	}
}

// Run follows the records until ctx ends.
func (r *Records) Run(ctx context.Context) error {
	version := uint64(0)
	for i := 0; ctx.Err() == nil; {
		client := controlpb.NewControlProtobufClient(r.urls[i%len(r.urls)], r.client)
		response, err := client.Groups(ctx, &controlpb.GroupsRequest{
			After: version, WaitMs: uint32(groupsWait.Milliseconds()),
		})
		if err != nil {
			i++
			r.log.V(1).Info("control daemon gave no group records", "error", err.Error())
			pause(ctx, recordsRetry)
			continue
		}
		version = response.Version
		r.take(response.Groups)
	}
	return nil
}

func (r *Records) take(groups []*controlpb.GroupRecord) {
	if len(groups) == 0 {
		return
	}
	r.mu.Lock()
	for _, g := range groups {
		if old := r.records[g.Group]; old == nil || old.Version < g.Version {
			r.records[g.Group] = g
		}
	}
	r.mu.Unlock()
	r.notify()
}

// Members returns the members of a group that count towards majorities; ok is
// false while none are known.
func (r *Records) Members(group string) (members []quorum.Member, ok bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	record := r.records[group]
	if record == nil {
		return nil, false
	}
	return groupstate.Members(record), true
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
