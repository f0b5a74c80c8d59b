package entry

import (
	"encoding/binary"
	"net"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"hemlockmast/internal/shared/outcome"
	"hemlockmast/internal/wire/pgwire"
)

// Constants of the start-up phase of the PostgreSQL protocol.
const (
	protocolMajor        = 3
	codeCancel           = 80877102
	codeSSLRequest       = 80877103
	codeGSSRequest       = 80877104
	minCancelBytes       = 12
	maxHandshakeMessages = 3
)

// Names of the start-up and session parameters that the entry defines. Together
// with default_transaction_read_only they are the entry parameters.
const (
	paramPrefix    = "hemlock."
	paramSession   = "hemlock.session_id"
	paramToken     = "hemlock.session_token"
	paramLevel     = "hemlock.read_level"
	paramDeadline  = "hemlock.deadline"
	paramRequestID = "hemlock.request_id"
)

// serveConn serves one caller connection from start-up until it is closed.
func (s *Server) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetKeepAlivePeriod(callerKeepAliveInterval)
	}
	_ = conn.SetDeadline(time.Now().Add(startupTimeout))
	startup, ok := s.handshake(conn)
	if !ok {
		return
	}
	sess, refusal := s.newSession(conn, startup.Parameters)
	if refusal != nil {
		writeFatal(conn, refusal)
		return
	}
	s.register(sess)
	defer s.unregister(sess)
	if err := sess.completeStartup(); err != nil {
		return
	}
	_ = conn.SetDeadline(time.Time{})
	sess.serveLoop()
	sess.releaseExchange()
}

// handshake returns the start-up message. Before it, a caller may request
// encryption, which is declined. A cancel request is carried out; like any
// failure, it ends the connection with ok false.
func (s *Server) handshake(conn net.Conn) (*pgproto3.StartupMessage, bool) {
	for range maxHandshakeMessages {
		body, err := pgwire.ReadStartup(conn, maxStartupBytes)
		if err != nil {
			return nil, false
		}
		switch code := binary.BigEndian.Uint32(body); code {
		case codeSSLRequest, codeGSSRequest:
			if _, err := conn.Write([]byte{'N'}); err != nil {
				return nil, false
			}
		case codeCancel:
			s.handleCancel(body)
			return nil, false
		default:
			return s.decodeStartup(conn, code, body)
		}
	}
	return nil, false
}

func (s *Server) handleCancel(body []byte) {
	if len(body) < minCancelBytes {
		return
	}
	pid, secret := binary.BigEndian.Uint32(body[4:]), binary.BigEndian.Uint32(body[8:])
	if !s.Cancel(pid, secret) {
		s.cfg.ForwardCancel(pid, secret)
	}
}

func (s *Server) decodeStartup(conn net.Conn, code uint32, body []byte) (*pgproto3.StartupMessage, bool) {
	if code>>16 != protocolMajor {
		writeFatal(conn, outcome.NotRunError(outcome.CodeProtocolViolation,
			outcome.ReasonProtocol, "only protocol version 3 is supported", nil))
		return nil, false
	}
	startup := &pgproto3.StartupMessage{}
	if err := startup.Decode(body); err != nil {
		writeFatal(conn, outcome.NotRunError(outcome.CodeProtocolViolation,
			outcome.ReasonProtocol, "the start-up message cannot be read", err))
		return nil, false
	}
	return startup, true
}

// completeStartup sends the messages that complete the start-up.
func (sess *callerConn) completeStartup() error {
	out := appendMessage(nil, &pgproto3.AuthenticationOk{})
	for _, p := range startupStatuses {
		out = pgwire.AppendParameterStatus(out, p[0], p[1])
	}
	if name := sess.endpointParams["application_name"]; name != "" {
		out = pgwire.AppendParameterStatus(out, "application_name", name)
	}
	out = pgwire.AppendParameterStatus(out, paramToken, sess.token())
	var secret [4]byte
	binary.BigEndian.PutUint32(secret[:], sess.secret)
	out = appendMessage(out, &pgproto3.BackendKeyData{ProcessID: sess.pid, SecretKey: secret[:]})
	out = pgwire.AppendReadyForQuery(out, 'I')
	_, err := sess.conn.Write(out)
	return err
}

// startupStatuses lists the parameter values that client libraries expect at
// start-up.
var startupStatuses = [...][2]string{
	{"server_version", "15.0"},
	{"server_encoding", "UTF8"},
	{"client_encoding", "UTF8"},
	{"DateStyle", "ISO, MDY"},
	{"IntervalStyle", "postgres"},
	{"TimeZone", "UTC"},
	{"integer_datetimes", "on"},
	{"standard_conforming_strings", "on"},
	{"is_superuser", "off"},
}

func appendMessage(dst []byte, msg pgproto3.BackendMessage) []byte {
	out, err := msg.Encode(dst)
	if err != nil {
		return dst
	}
	return out
}

func writeFatal(conn net.Conn, err *outcome.Error) {
	out := pgwire.AppendErrorResponse(nil, "FATAL", err.Code, err.Error(), "outcome: "+err.Outcome.String())
	_, _ = conn.Write(out)
}

// splitParams separates the entry parameters from those for endpoints.
func splitParams(all map[string]string) (entryParams, endpointParams map[string]string) {
	entryParams = map[string]string{}
	endpointParams = map[string]string{}
	for name, value := range all {
		switch {
		case name == "user" || name == "database" || name == "replication" || name == "options":
		case strings.HasPrefix(name, paramPrefix):
			entryParams[name] = value
		case name == paramReadOnly:
			entryParams[name] = value
		default:
			endpointParams[name] = value
		}
	}
	for name, value := range parseOptions(all["options"]) {
		if strings.HasPrefix(name, paramPrefix) || name == paramReadOnly {
			entryParams[name] = value
		} else {
			endpointParams[name] = value
		}
	}
	return entryParams, endpointParams
}

// paramReadOnly is the PostgreSQL parameter for the default access mode.
const paramReadOnly = "default_transaction_read_only"

// parseOptions parses the "-c name=value" and "--name=value" settings of the
// PostgreSQL start-up parameter "options".
func parseOptions(options string) map[string]string {
	settings := map[string]string{}
	fields := strings.Fields(options)
	for i := 0; i < len(fields); i++ {
		text := fields[i]
		switch {
		case text == "-c" && i+1 < len(fields):
			i++
			text = fields[i]
		case strings.HasPrefix(text, "-c"):
			text = text[2:]
		case strings.HasPrefix(text, "--"):
			text = text[2:]
		default:
			continue
		}
		if name, value, ok := strings.Cut(text, "="); ok {
			settings[name] = value
		}
	}
	return settings
}
