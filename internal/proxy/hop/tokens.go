package hop

import (
	"fmt"
	"time"

	carrypb "hemlockmast/api/carry"
	"hemlockmast/internal/proxy/quota"
)

// TokenRequest asks a granter for tokens of a workspace's limit; package quota explains them.
type TokenRequest struct {
	Workspace string
	// OfDomain asks for tokens of the failure domain's share.
	OfDomain bool
	quota.Request
}

// Tokens asks an entry for tokens of a workspace. granted, retry and isGranter are as in Lender.
// Errors: *UnreachableError.
func (c *Client) Tokens(granter string, r TokenRequest) (granted int, retry time.Duration, isGranter bool, err error) {
	m := &carrypb.Tokens{
		Workspace: []byte(r.Workspace), OfDomain: r.OfDomain,
		Want: uint32(r.Want), Need: uint32(r.Need), Unused: uint32(r.Unused), Admitted: uint32(r.Admitted),
		Priority: uint32(quota.Priority(r.Priority)), Refused: r.Refused,
	}
	if r.Unused > 0 {
		m.UnusedAgeMs = ceilMillis(r.UnusedAge)
	}
	request := &carrypb.Request{Kind: &carrypb.Request_Tokens{Tokens: m}}
	// The deadline is later than the time after which a silent granter counts as down.
	s, answer, err := c.call(granter, request, time.Now().Add(keepaliveTimeout+answerGrace))
	if err != nil {
		return 0, 0, false, err
	}
	kind, ok := answer.Kind.(*carrypb.Response_TokensGranted)
	if !ok {
		s.Close()
		return 0, 0, false, &UnreachableError{Carrier: granter, Cause: &ProtocolError{Got: fmt.Sprintf("%T", answer.Kind)}}
	}
	c.putStream(granter, s)
	a := kind.TokensGranted
	// More than was asked for would be a fault of the granter.
	granted = int(min(a.Granted, uint32(max(r.Want, r.Need))))
	return granted, time.Duration(min(a.RetryUs, maxRetryUs)) * time.Microsecond, a.IsGranter, nil
}

// maxRetryUs bounds what a granter may say about the time until a further token.
const maxRetryUs = 10_000_000

func (s *serverStream) tokens(m *carrypb.Tokens) *carrypb.Response {
	granted, retry, isGranter := s.server.lender.GrantTokens(TokenRequest{
		Workspace: string(m.Workspace), OfDomain: m.OfDomain,
		Request: quota.Request{
			Need: int(m.Need), Want: int(m.Want), Admitted: int(m.Admitted),
			Unused: int(m.Unused), UnusedAge: time.Duration(m.UnusedAgeMs) * time.Millisecond,
			Priority: int(min(m.Priority, quota.MaxPriority)), Refused: m.Refused,
		},
	})
	return &carrypb.Response{Kind: &carrypb.Response_TokensGranted{TokensGranted: &carrypb.TokensGranted{
		Granted: uint32(granted), RetryUs: uint64((max(0, retry) + time.Microsecond - 1).Microseconds()), IsGranter: isGranter,
	}}}
}
