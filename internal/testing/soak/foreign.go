package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"hemlockmast/internal/shared/wait"
	"hemlockmast/platform/standin"
)

// foreignInterval is the time between two announcements of another writer.
const foreignInterval = 150 * time.Millisecond

// announceForeign sends announcements of another writer to random control daemons until ctx ends,
// from before the first configuration on. They name the ids and addresses of endpoints that run, and
// no endpoint to use, so that no check allows for them.
func (f *fleet) announceForeign(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 4))
	client := &http.Client{Timeout: time.Second}
	for ; ctx.Err() == nil; wait.For(ctx, foreignInterval) {
		n := f.nodes[rng.IntN(len(f.nodes))]
		id, _ := n.Identity()
		body := standin.ForeignBeat(rng, n.Beat(domain(0), rng.IntN(2) == 0, 1+rng.IntN(1000), time.Now().UnixMilli()))
		if rng.IntN(2) == 0 {
			id = fmt.Sprint("foreign-", rng.IntN(3))
		}
		f.call(client, rng.IntN(f.controls), http.MethodPost, standin.BeatPath(id), body)
	}
}
