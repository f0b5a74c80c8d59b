package daemon

import (
	"context"
	"time"

	"hemlockmast/api/confspread"
)

// gaugeInterval is the time between two updates of the gauges.
const gaugeInterval = time.Second

// updateGauges periodically updates the gauges of connections and of the revision
// in force until ctx ends.
func (d *Daemon) updateGauges(ctx context.Context) error {
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	for {
		for id, u := range d.holder.Usage() {
			d.metrics.Connections(id.Group, id.Slot, u.Open-u.Idle, u.Idle, u.Pinned, u.Limit)
		}
		if follower := d.control.follower; follower != nil {
			state := follower.State()
			d.metrics.Revision(state.Revision, state.Mode == confspread.Mode_MODE_CONFIRMED)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}
