package holder

import (
	"maps"
	"slices"
	"strings"

	"hemlockmast/api/link"
	"hemlockmast/internal/wire/pgwire"
)

// plan is a segment prepared for one connection: the bytes to send and the
// replies to expect.
type plan struct {
	out    []byte
	expect []expectedReply
}

// buildPlan returns the plan of seg for c. It prepares statements that are not
// yet prepared on the connection. After an error in a segment that ended with
// Flush, the endpoint skips all messages up to the next Sync, and so does the
// plan.
func buildPlan(c *conn, seg *link.Segment) *plan {
	p := &plan{}
	if c.skipsUntilSync {
		p.skipToSync(seg)
		c.skipsUntilSync = len(p.out) == 0
		return p
	}
	pending := map[string]bool{}
	for _, op := range seg.Ops {
		p.addOp(c, op, pending)
		if op.Kind == link.OpKind_OP_ERROR {
			p.skipToSync(seg)
			break
		}
	}
	return p
}

// addOp adds one operation. pending holds the statements that the plan prepares.
func (p *plan) addOp(c *conn, op *link.Op, pending map[string]bool) {
	switch op.Kind {
	case link.OpKind_OP_SYNTHETIC, link.OpKind_OP_ERROR:
		p.expect = append(p.expect, expectedReply{action: replySynthetic, data: op.Data})
	case link.OpKind_OP_PARSE:
		p.addParse(c, op.Statement, pending, replyForward)
	default:
		if op.Statement != nil {
			p.addParse(c, op.Statement, pending, replyDiscard)
		}
		p.addMessage(op.Data)
	}
}

// addMessage adds a message whose reply is forwarded to the caller.
func (p *plan) addMessage(data []byte) {
	p.out = append(p.out, data...)
	if data[0] != pgwire.MsgFlush {
		p.expect = append(p.expect, expectedReply{message: data[0]})
	}
}

// addParse adds a Parse of st unless the statement is already prepared on the
// connection. In that case a Parse from the caller gets a synthetic reply.
func (p *plan) addParse(c *conn, st *link.Statement, pending map[string]bool, action replyAction) {
	_, known := c.prepared[st.Name]
	if known || pending[st.Name] {
		if known {
			c.markPrepared(st.Name)
		}
		if action == replyForward {
			p.expect = append(p.expect, expectedReply{
				action: replySynthetic,
				data:   pgwire.AppendEmptyMessage(nil, pgwire.MsgParseComplete),
			})
		}
		return
	}
	p.evictStatement(c)
	pending[st.Name] = true
	p.out = pgwire.AppendParse(p.out, st.Name, st.Query, st.ParameterOids)
	p.expect = append(p.expect, expectedReply{
		action: action, message: pgwire.MsgParse, prepares: st.Name,
	})
}

// evictStatement closes the least recently used statement if the connection has
// maxPrepared of them.
func (p *plan) evictStatement(c *conn) {
	if len(c.prepared) < maxPrepared {
		return
	}
	name := c.leastRecentlyUsed()
	delete(c.prepared, name)
	p.out = appendCloseStatement(p.out, name)
	p.expect = append(p.expect, expectedReply{
		action: replyDiscard, message: pgwire.MsgClose, closes: name,
	})
}

// skipToSync adds only the Sync at the segment's end, if there is one. It skips
// all messages before, as an endpoint does after an error.
func (p *plan) skipToSync(seg *link.Segment) {
	last := seg.Ops[len(seg.Ops)-1]
	if len(last.Data) > 0 && last.Data[0] == pgwire.MsgSync {
		p.addMessage(last.Data)
	}
}

// paramsSQL returns the statements that change the connection's session
// parameters from current to wanted. It is empty if the two are equal.
func paramsSQL(current, wanted map[string]string) string {
	if maps.Equal(wanted, current) {
		return ""
	}
	var sql strings.Builder
	for _, name := range slices.Sorted(maps.Keys(current)) {
		if _, ok := wanted[name]; !ok {
			sql.WriteString("RESET " + quoteIdent(name) + ";")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(wanted)) {
		sql.WriteString("SET " + quoteIdent(name) + " TO " + quoteLiteral(wanted[name]) + ";")
	}
	return sql.String()
}

func quoteIdent(s string) string {
	return `"` + strings.ReplaceAll(s, `"`, `""`) + `"`
}

func quoteLiteral(s string) string {
	return "'" + strings.ReplaceAll(s, "'", "''") + "'"
}

func appendCloseStatement(dst []byte, name string) []byte {
	n := 4 + 1 + len(name) + 1
	dst = append(dst, pgwire.MsgClose, byte(n>>24), byte(n>>16), byte(n>>8), byte(n), 'S')
	dst = append(dst, name...)
	return append(dst, 0)
}
