package holder

import (
	"maps"
	"slices"
	"strings"

	"hemlockmast/api/link"
	"hemlockmast/internal/wire/pgwire"
)

// plan is a segment made ready for one connection: the bytes to send and the
// replies that are due.
type plan struct {
	out    []byte
	expect []expectation
}

// build makes the plan of seg for c. Statements that the connection does not
// know are prepared first. After an error in a segment that ended with Flush,
// the endpoint skips all messages up to the next Sync, and so does the plan.
func build(c *conn, seg *link.Segment) *plan {
	p := &plan{}
	if c.skipping {
		p.skipToSync(seg)
		c.skipping = len(p.out) == 0
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

func (p *plan) addOp(c *conn, op *link.Op, pending map[string]bool) {
	switch op.Kind {
	case link.OpKind_OP_SYNTHETIC, link.OpKind_OP_ERROR:
		p.expect = append(p.expect, expectation{kind: expectSynthetic, data: op.Data})
	case link.OpKind_OP_PARSE:
		p.addParse(c, op.Statement, pending, expectForward)
	default:
		if op.Statement != nil {
			p.addParse(c, op.Statement, pending, expectSwallow)
		}
		p.send(op.Data)
	}
}

// send adds a message whose reply goes to the caller.
func (p *plan) send(data []byte) {
	p.out = append(p.out, data...)
	if data[0] != pgwire.MsgFlush {
		p.expect = append(p.expect, expectation{message: data[0]})
	}
}

// addParse prepares st unless the connection knows it; a caller's own Parse
// then gets a made-up reply.
func (p *plan) addParse(c *conn, st *link.Statement, pending map[string]bool, kind expectKind) {
	_, known := c.prepared[st.Name]
	if known || pending[st.Name] {
		if known {
			c.markPrepared(st.Name)
		}
		if kind == expectForward {
			p.expect = append(p.expect, expectation{
				kind: expectSynthetic,
				data: pgwire.AppendEmpty(nil, pgwire.MsgParseComplete),
			})
		}
		return
	}
	p.makeRoom(c)
	pending[st.Name] = true
	p.out = pgwire.AppendParse(p.out, st.Name, st.Query, st.ParameterOids)
	p.expect = append(p.expect, expectation{
		kind: kind, message: pgwire.MsgParse, prepares: st.Name,
	})
}

// makeRoom closes the least used statement when the connection has too many.
func (p *plan) makeRoom(c *conn) {
	if len(c.prepared) < maxPrepared {
		return
	}
	name := c.leastUsed()
	delete(c.prepared, name)
	p.out = appendCloseStatement(p.out, name)
	p.expect = append(p.expect, expectation{
		kind: expectSwallow, message: pgwire.MsgClose, forgets: name,
	})
}

// skipToSync adds only the Sync at the segment's end, if there is one: as an
// endpoint does after an error, it skips all messages before.
func (p *plan) skipToSync(seg *link.Segment) {
	last := seg.Ops[len(seg.Ops)-1]
	if len(last.Data) > 0 && last.Data[0] == pgwire.MsgSync {
		p.send(last.Data)
	}
}

// paramsSQL returns the statements that bring the connection's session
// parameters to want; it is empty when they are the same.
func paramsSQL(have, want map[string]string) string {
	if maps.Equal(want, have) {
		return ""
	}
	var sql strings.Builder
	for _, name := range slices.Sorted(maps.Keys(have)) {
		if _, ok := want[name]; !ok {
			sql.WriteString("RESET " + quoteIdent(name) + ";")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(want)) {
		sql.WriteString("SET " + quoteIdent(name) + " TO " + quoteLiteral(want[name]) + ";")
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
