package hop

import (
	"time"

	carrypb "hemlockmast/api/carry"
	"hemlockmast/internal/proxy/pool"
)

// Pool returns the request as the pool that serves it takes it.
func (r BorrowRequest) Pool() pool.Request {
	return pool.Request{
		Priority: r.Priority, Needs: r.Needs, Target: r.Target,
		TurnBy: r.TurnBy, WaitDeadline: r.WaitDeadline, Deadline: r.Deadline,
	}
}

// tell passes on the load in a carrier's answer. Carriers of older builds tell none.
func (r BorrowRequest) tell(m *carrypb.Load) {
	if m == nil || r.OnLoad == nil {
		return
	}
	r.OnLoad(pool.Load{
		Wait:          time.Duration(m.WaitUs) * time.Microsecond,
		StatementTime: time.Duration(m.StatementUs) * time.Microsecond,
	})
}

// load returns the load to report in the answer to a request; nil if the endpoint is not
// known.
func (s *serverStream) load(r BorrowRequest) *carrypb.Load {
	load, ok := s.server.lender.Load(r.Endpoint, r.Priority)
	if !ok {
		return nil
	}
	return &carrypb.Load{WaitUs: uint64(load.Wait.Microseconds()), StatementUs: uint64(load.StatementTime.Microseconds())}
}

// withLoad adds the load to a refusal.
func (s *serverStream) withLoad(response *carrypb.Response, r BorrowRequest) *carrypb.Response {
	if refused := response.GetRefused(); refused != nil {
		refused.Load = s.load(r)
	}
	return response
}
