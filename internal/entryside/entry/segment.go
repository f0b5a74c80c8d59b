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

// maxStatements limits the number of prepared statements of one session.
const maxStatements = 4096

// statement is a prepared statement of a session.
type statement struct {
	wire *link.Statement
}

// segment holds the messages that a caller sent up to and including a Query,
// Sync or Flush message.
type segment struct {
	ops []*link.Op
	// queries holds the text of the statements that the segment runs or
	// prepares, in order.
	queries []string
	// executions is the number of Execute and Query messages.
	executions int
	// endType is the type byte of the last message: Query, Sync or Flush.
	endType byte
}

// readSegment reads the next segment. It returns errTerminate if the caller sent
// Terminate.
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
		if err := sess.addMessage(seg, f); err != nil {
			return nil, err
		}
		switch f.Type() {
		case pgwire.MsgQuery, pgwire.MsgSync, pgwire.MsgFlush:
			seg.endType = f.Type()
			return seg, nil
		}
	}
}

// addMessage converts one message to an operation of the segment.
func (sess *callerConn) addMessage(seg *segment, f pgwire.Frame) error {
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
		seg.executions++
		seg.addForward(f, nil)
	case pgwire.MsgSync, pgwire.MsgFlush:
		seg.addForward(f, nil)
	case 'd', 'c', 'f':
		// CopyData, CopyDone and CopyFail that arrive after a refused COPY are
		// ignored, as a PostgreSQL server does.
	default:
		return outcome.NotRunError(outcome.CodeProtocolViolation, outcome.ReasonProtocol,
			"message type "+string(rune(f.Type()))+" is not supported", nil)
	}
	return nil
}

func (seg *segment) addForward(f pgwire.Frame, st *link.Statement) {
	data := append([]byte(nil), f...)
	seg.ops = append(seg.ops, &link.Op{Kind: link.OpKind_OP_FORWARD, Data: data, Statement: st})
}

func (seg *segment) addSynthetic(kind link.OpKind, data []byte) {
	seg.ops = append(seg.ops, &link.Op{Kind: kind, Data: data})
}

func (seg *segment) addError(code, message string) {
	seg.addSynthetic(link.OpKind_OP_ERROR, pgwire.AppendErrorResponse(nil, "ERROR", code, message, ""))
}

func (sess *callerConn) addQuery(seg *segment, f pgwire.Frame) error {
	msg := pgproto3.Query{}
	if err := msg.Decode(f.Body()); err != nil {
		return malformedMessage(err)
	}
	seg.executions++
	seg.queries = append(seg.queries, msg.String)
	seg.addForward(f, nil)
	return nil
}

func (sess *callerConn) addParse(seg *segment, f pgwire.Frame) error {
	msg := pgproto3.Parse{}
	if err := msg.Decode(f.Body()); err != nil {
		return malformedMessage(err)
	}
	if _, exists := sess.statements[msg.Name]; exists && msg.Name != "" {
		seg.addError(outcome.CodeDuplicateStatement, "prepared statement \""+msg.Name+"\" already exists")
		return nil
	}
	if len(sess.statements) >= maxStatements {
		seg.addError(outcome.CodeLimitExceeded, "too many prepared statements in this session")
		return nil
	}
	wire := &link.Statement{
		Name:          endpointStatementName(msg.Query, msg.ParameterOIDs),
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

// endpointStatementName derives a statement's name on endpoint connections from
// its text and parameter types. Statements with equal names must be equal, so
// the hash is cryptographic.
func endpointStatementName(query string, oids []uint32) string {
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

// addBind replaces the caller's statement name by the endpoint's. A Bind message
// starts with the names of the portal and the statement, each terminated by a
// zero byte.
func (sess *callerConn) addBind(seg *segment, f pgwire.Frame) error {
	portal, rest, ok := cutCString(f.Body())
	if !ok {
		return malformedMessage(nil)
	}
	name, rest, ok := cutCString(rest)
	if !ok {
		return malformedMessage(nil)
	}
	st, known := sess.statements[name]
	if !known {
		seg.addError(outcome.CodeUndefinedStatement, "prepared statement \""+name+"\" does not exist")
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
		return malformedMessage(err)
	}
	if msg.ObjectType != 'S' {
		seg.addForward(f, nil)
		return nil
	}
	st, known := sess.statements[msg.Name]
	if !known {
		seg.addError(outcome.CodeUndefinedStatement, "prepared statement \""+msg.Name+"\" does not exist")
		return nil
	}
	msg.Name = st.wire.Name
	data, err := msg.Encode(nil)
	if err != nil {
		return malformedMessage(err)
	}
	seg.ops = append(seg.ops, &link.Op{Kind: link.OpKind_OP_FORWARD, Data: data, Statement: st.wire})
	return nil
}

// addClose removes a statement from the session. Endpoint connections keep it,
// because other sessions may use it.
func (sess *callerConn) addClose(seg *segment, f pgwire.Frame) error {
	msg := pgproto3.Close{}
	if err := msg.Decode(f.Body()); err != nil {
		return malformedMessage(err)
	}
	if msg.ObjectType != 'S' {
		seg.addForward(f, nil)
		return nil
	}
	delete(sess.statements, msg.Name)
	seg.addSynthetic(link.OpKind_OP_SYNTHETIC, pgwire.AppendEmptyMessage(nil, pgwire.MsgCloseComplete))
	return nil
}

// cutCString splits p after the first zero byte. ok is false if there is none.
func cutCString(p []byte) (string, []byte, bool) {
	i := strings.IndexByte(string(p), 0)
	if i < 0 {
		return "", nil, false
	}
	return string(p[:i]), p[i+1:], true
}

func malformedMessage(err error) error {
	return outcome.NotRunError(outcome.CodeProtocolViolation, outcome.ReasonProtocol,
		"a message cannot be read", err)
}
