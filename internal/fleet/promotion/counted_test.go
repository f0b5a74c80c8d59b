package promotion_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"hemlockmast/internal/fleet/promotion"
)

// forgetfulPromoter promotes an endpoint that was started again without its log.
type forgetfulPromoter struct{ *promoter }

func (p forgetfulPromoter) Promote(ctx context.Context, service, id string, token uint64) error {
	for _, n := range p.group.Nodes() {
		if n.ID == id {
			n.LoseLog()
		}
	}
	return p.promoter.Promote(ctx, service, id, token)
}

func (f *fixture) assertCounted(series ...string) {
	f.t.Helper()
	w := httptest.NewRecorder()
	f.runner.Metrics.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, s := range series {
		assert.Assert(f.t, strings.Contains(w.Body.String(), "hemlockmast_"+s+"\n"), s)
	}
}

func TestOrdersAndCallsAreCounted(t *testing.T) {
	f := newFixture(t)
	assert.Assert(t, f.write(0, "a"))
	f.promoter.unanswered, f.promoter.dropUnanswered = 1, true
	_, err := f.runner.Run(t.Context(), f.plan(1, false))
	assert.Assert(t, err != nil)
	f.assertCounted(`orders_total{order="pause",outcome="answered"} 2`, `platform_calls_total{outcome="unanswered"} 1`)
	_, err = f.runner.Run(t.Context(), f.plan(2, false))
	assert.NilError(t, err)
	f.assertCounted(`platform_calls_total{outcome="accepted"} 1`, `primaries_behind_total 0`, `attempts_interrupted_total 0`)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = f.runner.Run(ctx, f.plan(3, false))
	assert.ErrorIs(t, err, context.Canceled)
	f.assertCounted(`attempts_interrupted_total 1`)
}

func TestPrimaryThatLostItsLogIsCounted(t *testing.T) {
	f := newFixture(t)
	assert.Assert(t, f.write(0, "a"))
	f.runner.Promoter = forgetfulPromoter{f.promoter}
	result, err := f.runner.Run(t.Context(), f.plan(1, false))
	assert.NilError(t, err)
	assert.Assert(t, result.Inherited.Less(result.Highest))
	f.assertCounted(`primaries_behind_total 1`)
}

func TestRefusedCallIsCounted(t *testing.T) {
	f := newFixture(t)
	assert.Equal(t, f.group.Promote("svc-0", 9), 200)
	_, err := f.runner.Run(t.Context(), f.plan(1, false))
	var conflict *promotion.ConflictError
	assert.Assert(t, errors.As(err, &conflict), "%v", err)
	f.assertCounted(`platform_calls_total{outcome="refused"} 1`)
}
