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

// recordsRetryDelay is the delay before the next control daemon is asked after a
// failed request.
const recordsRetryDelay = 200 * time.Millisecond

// Records follows the records of the database groups. Stale records are safe: an
// old record can only make fewer endpoints count towards a majority, never more.
type Records struct {
	urls   []string
	client *http.Client
	log    logr.Logger
	notify func()

	// mu guards the fields below.
	mu      sync.RWMutex
	records map[string]*controlpb.GroupRecord
}

// NewRecords returns a follower of the control daemon at one of urls. After a
// failure it moves on to the next. It calls notify after each response with
// records.
func NewRecords(urls []string, log logr.Logger, notify func()) *Records {
	return &Records{
		urls: urls, log: log, notify: notify,
		client:  &http.Client{Timeout: maxGroupsWait + callTimeout},
		records: map[string]*controlpb.GroupRecord{},
	}
}

// Run follows the records until ctx ends.
func (r *Records) Run(ctx context.Context) error {
	version := uint64(0)
	for i := 0; ctx.Err() == nil; {
		client := controlpb.NewControlProtobufClient(r.urls[i%len(r.urls)], r.client)
		response, err := client.Groups(ctx, &controlpb.GroupsRequest{
			After: version, WaitMs: uint32(maxGroupsWait.Milliseconds()),
		})
		if err != nil {
			i++
			r.log.V(1).Info("fetching group records from a control daemon failed", "error", err.Error())
			pause(ctx, recordsRetryDelay)
			continue
		}
		version = response.Version
		r.mergeRecords(response.Groups)
	}
	return nil
}

// mergeRecords stores the records that are newer than the known ones.
func (r *Records) mergeRecords(groups []*controlpb.GroupRecord) {
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

// Members returns the members of a group that count towards a majority; ok is
// false if the group's record is not known.
func (r *Records) Members(group string) (members []quorum.Member, ok bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	record := r.records[group]
	if record == nil {
		return nil, false
	}
	return groupstate.Members(record), true
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
