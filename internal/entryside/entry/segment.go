package entry

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"hemlockmast/api/link"
	"hemlockmast/internal/shared/outcome"
	"hemlockmast/internal/wire/pgwire"
)

// maxStatements bounds the prepared statements of one session.
const maxStatements = 4096

// statement is a prepared statement of a session.
type statement struct {
	wire *link.Statement
}

// segment is what a caller sent up to Query, Sync or Flush.
type segment struct {
	ops []*link.Op
	// queries holds the texts that the segment runs or prepares, in order.
	queries []string
	// executes counts Execute and Query messages.
	executes int
	// end is the type byte of the last message.
	end byte
}

// readSegment reads the next segment. The end of the stream between two
// segments is errTerminate.
func (sess *callerConn) readSegment(r *pgwire.Reader) (*segment, error) {
	seg := &segment{}
	size := 0
	for {
		f, err := r.Next()
		if err != nil {
			return nil, err
		}
		size += len(f)
		if size > maxSegmentBytes {
			return nil, &pgwire.LengthError{Type: f.Type(), Length: size, Limit: maxSegmentBytes}
		}
		if f.Type() == pgwire.MsgTerminate {
			return nil, errTerminate
		}
		if err := sess.add(seg, f); err != nil {
			return nil, err
		}
		switch f.Type() {
		case pgwire.MsgQuery, pgwire.MsgSync, pgwire.MsgFlush:
			seg.end = f.Type()
			return seg, nil
		}
	}
}

// add turns one message into an operation.
func (sess *callerConn) add(seg *segment, f pgwire.Frame) error {
	switch f.Type() {
	case pgwire.MsgQuery:
		return sess.addQuery(seg, f)
	case pgwire.MsgParse:
		return sess.addParse(seg, f)
	case pgwire.MsgBind:
		return sess.addBind(seg, f)
	case pgwire.MsgDescribe:
		return sess.addDescribe(seg, f)
	case pgwire.MsgClose:
		return sess.addClose(seg, f)
	case pgwire.MsgExecute:
		seg.executes++
		seg.forward(f, nil)
	case pgwire.MsgSync, pgwire.MsgFlush:
		seg.forward(f, nil)
	case 'd', 'c', 'f':
		// Copy data that arrives after a refused COPY is ignored, as an
		// endpoint does.
	default:
		return outcome.NotRunError(outcome.CodeProtocolViolation, outcome.ReasonProtocol,
			"message type "+string(rune(f.Type()))+" is not supported", nil)
	}
	return nil
}

func (seg *segment) forward(f pgwire.Frame, st *link.Statement) {
	data := append([]byte(nil), f...)
	seg.ops = append(seg.ops, &link.Op{Kind: link.OpKind_OP_FORWARD, Data: data, Statement: st})
}

func (seg *segment) synthetic(kind link.OpKind, data []byte) {
	seg.ops = append(seg.ops, &link.Op{Kind: kind, Data: data})
}

func (seg *segment) fail(code, message string) {
	seg.synthetic(link.OpKind_OP_ERROR, pgwire.AppendErrorText(nil, "ERROR", code, message, ""))
}

func (sess *callerConn) addQuery(seg *segment, f pgwire.Frame) error {
	msg := pgproto3.Query{}
	if err := msg.Decode(f.Body()); err != nil {
		return malformed(err)
	}
	seg.executes++
	seg.queries = append(seg.queries, msg.String)
	seg.forward(f, nil)
	return nil
}

func (sess *callerConn) addParse(seg *segment, f pgwire.Frame) error {
	msg := pgproto3.Parse{}
	if err := msg.Decode(f.Body()); err != nil {
		return malformed(err)
	}
	if _, taken := sess.statements[msg.Name]; taken && msg.Name != "" {
		seg.fail(outcome.CodeDuplicateStatement, "prepared statement \""+msg.Name+"\" already exists")
		return nil
	}
	if len(sess.statements) >= maxStatements {
		seg.fail(outcome.CodeLimitExceeded, "too many prepared statements in this session")
		return nil
	}
	wire := &link.Statement{
		Name:          statementName(msg.Query, msg.ParameterOIDs),
		Query:         msg.Query,
		ParameterOids: append([]uint32(nil), msg.ParameterOIDs...),
	}
	if sess.statements == nil {
		sess.statements = map[string]statement{}
	}
	sess.statements[msg.Name] = statement{wire: wire}
	seg.queries = append(seg.queries, msg.Query)
	seg.ops = append(seg.ops, &link.Op{Kind: link.OpKind_OP_PARSE, Statement: wire})
	return nil
}

// statementName derives the name under which endpoint connections know a
// statement. Equal names mean equal statements, so the hash is cryptographic.
func statementName(query string, oids []uint32) string {
	h := sha256.New()
	var word [4]byte
	for _, oid := range oids {
		binary.BigEndian.PutUint32(word[:], oid)
		_, _ = h.Write(word[:])
	}
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(query))
	return "hm_" + hex.EncodeToString(h.Sum(nil)[:16])
}

// addBind replaces the caller's statement name: portal, statement and the rest
// follow each other, the first two ended by zero bytes.
func (sess *callerConn) addBind(seg *segment, f pgwire.Frame) error {
	portal, rest, ok := cutString(f.Body())
	if !ok {
		return malformed(nil)
	}
	name, rest, ok := cutString(rest)
	if !ok {
		return malformed(nil)
	}
	st, known := sess.statements[name]
	if !known {
		seg.fail(outcome.CodeUndefinedStatement, "prepared statement \""+name+"\" does not exist")
		return nil
	}
	seg.queries = append(seg.queries, st.wire.Query)
	data := make([]byte, 5, len(f)+len(st.wire.Name))
	data[0] = pgwire.MsgBind
	data = append(data, portal...)
	data = append(data, 0)
	data = append(data, st.wire.Name...)
	data = append(data, 0)
	data = append(data, rest...)
	binary.BigEndian.PutUint32(data[1:], uint32(len(data)-1))
	seg.ops = append(seg.ops, &link.Op{Kind: link.OpKind_OP_FORWARD, Data: data, Statement: st.wire})
	return nil
}

func (sess *callerConn) addDescribe(seg *segment, f pgwire.Frame) error {
	msg := pgproto3.Describe{}
	if err := msg.Decode(f.Body()); err != nil {
		return malformed(err)
	}
	if msg.ObjectType != 'S' {
		seg.forward(f, nil)
		return nil
	}
	st, known := sess.statements[msg.Name]
	if !known {
		seg.fail(outcome.CodeUndefinedStatement, "prepared statement \""+msg.Name+"\" does not exist")
		return nil
	}
	msg.Name = st.wire.Name
	data, err := msg.Encode(nil)
	if err != nil {
		return malformed(err)
	}
	seg.ops = append(seg.ops, &link.Op{Kind: link.OpKind_OP_FORWARD, Data: data, Statement: st.wire})
	return nil
}

// addClose forgets a statement; endpoint connections keep theirs for others.
func (sess *callerConn) addClose(seg *segment, f pgwire.Frame) error {
	msg := pgproto3.Close{}
	if err := msg.Decode(f.Body()); err != nil {
		return malformed(err)
	}
	if msg.ObjectType != 'S' {
		seg.forward(f, nil)
		return nil
	}
	delete(sess.statements, msg.Name)
	seg.synthetic(link.OpKind_OP_SYNTHETIC, pgwire.AppendEmpty(nil, pgwire.MsgCloseComplete))
	return nil
}

func cutString(p []byte) (string, []byte, bool) {
	i := strings.IndexByte(string(p), 0)
	if i < 0 {
		return "", nil, false
	}
	return string(p[:i]), p[i+1:], true
}

func malformed(err error) error {
	return outcome.NotRunError(outcome.CodeProtocolViolation, outcome.ReasonProtocol,
		"a message cannot be read", err)
}
