package fleethub_test

import (
	"fmt"
	"testing"
	"time"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/fleet/fleethub"
	"hemlockmast/internal/fleet/fleetstate"
)

type daemon struct{}

func (daemon) IsCurrent() bool                          { return true }
func (daemon) ControlDaemons() []*fleetpb.ControlDaemon { return nil }
func (daemon) Leader() string                           { return "" }
func (daemon) FailureDomain() string                    { return "a" }

// BenchmarkAttempt applies the commands of one attempt: token, call, close.
func BenchmarkAttempt(b *testing.B) {
	for _, services := range []int{3, 100, 1600} {
		for _, part := range []string{"token", "all"} {
			b.Run(fmt.Sprint(services, " services ", part), func(b *testing.B) {
				var hub *fleethub.Hub
				m := fleetstate.New(func() {
					if hub != nil {
						hub.Refresh()
					}
				})
				apply := func(cmd *fleetpb.Command) {
					data, err := fleetstate.Encode(cmd)
					if err != nil {
						b.Fatal(err)
					}
					m.Apply(0, data)
				}
				for s := range services {
					name := fmt.Sprint("s", s)
					for e := range 3 {
						apply(&fleetpb.Command{Kind: &fleetpb.Command_Announce{Announce: &fleetpb.Endpoint{
							Id: fmt.Sprint(name, "-", e), Service: name, Address: fmt.Sprintf("10.%d.%d.%d:1", s/250, s%250, e),
							State: fleetpb.EndpointState_ENDPOINT_STATE_READY, BornMs: 1, Sequence: 1,
						}}})
					}
					apply(&fleetpb.Command{Kind: &fleetpb.Command_SetPrimary{SetPrimary: &fleetpb.SetPrimary{Service: name, EndpointId: name + "-0"}}})
				}
				hub = fleethub.New(1, m, daemon{}, time.Now)
				hub.Refresh()
				b.ResetTimer()
				for i := range b.N {
					name := fmt.Sprint("s", i%services)
					apply(&fleetpb.Command{Kind: &fleetpb.Command_AllocateToken{AllocateToken: &fleetpb.AllocateToken{Service: name}}})
					if part == "token" {
						continue
					}
					token := m.Attempt(name).Token
					apply(&fleetpb.Command{Kind: &fleetpb.Command_RecordCall{RecordCall: &fleetpb.RecordCall{Service: name, Token: token, EndpointId: name + "-1"}}})
					apply(&fleetpb.Command{Kind: &fleetpb.Command_CloseAttempt{CloseAttempt: &fleetpb.CloseAttempt{Service: name, Token: token, CallRefused: true, PausesLeft: true}}})
				}
			})
		}
	}
}
