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

// Codes of the first message of a connection.
const (
	protocolMajor   = 3
	codeCancel      = 80877102
	codeSSLRequest  = 80877103
	codeGSSRequest  = 80877104
	minCancelBytes  = 12
	maxHandshakeTry = 3
)

// Names of the start-up and session parameters that this system defines.
const (
	paramPrefix    = "hemlock."
	paramSession   = "hemlock.session_id"
	paramToken     = "hemlock.session_token"
	paramLevel     = "hemlock.read_level"
	paramDeadline  = "hemlock.deadline"
	paramRequestID = "hemlock.request_id"
)

// serveConn runs one caller connection from start-up to its end.
func (s *Server) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetKeepAlivePeriod(callerKeepAlive)
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
	if err := sess.greet(); err != nil {
		return
	}
	_ = conn.SetDeadline(time.Time{})
	sess.loop()
	sess.end()
}

// handshake answers encryption requests and cancel requests and returns the
// start-up message.
func (s *Server) handshake(conn net.Conn) (*pgproto3.StartupMessage, bool) {
	for range maxHandshakeTry {
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
		s.cfg.Elsewhere(pid, secret)
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

// greet completes the start-up.
func (sess *callerConn) greet() error {
	out := appendMessage(nil, &pgproto3.AuthenticationOk{})
	for _, p := range greeting {
		out = pgwire.AppendParameterStatus(out, p[0], p[1])
	}
	if name := sess.params["application_name"]; name != "" {
		out = pgwire.AppendParameterStatus(out, "application_name", name)
	}
	out = pgwire.AppendParameterStatus(out, paramToken, sess.token())
	var secret [4]byte
	binary.BigEndian.PutUint32(secret[:], sess.secret)
	out = appendMessage(out, &pgproto3.BackendKeyData{ProcessID: sess.pid, SecretKey: secret[:]})
	out = pgwire.AppendReady(out, 'I')
	_, err := sess.conn.Write(out)
	return err
}

// greeting lists the parameters that client libraries expect at start-up.
var greeting = [...][2]string{
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
	out := pgwire.AppendErrorText(nil, "FATAL", err.Code, err.Error(), "outcome: "+err.Outcome.String())
	_, _ = conn.Write(out)
}

// splitParams separates the system's own parameters from those for endpoints.
func splitParams(all map[string]string) (own, forEndpoint map[string]string) {
	own = map[string]string{}
	forEndpoint = map[string]string{}
	for name, value := range all {
		switch {
		case name == "user" || name == "database" || name == "replication" || name == "options":
		case strings.HasPrefix(name, paramPrefix):
			own[name] = value
		case name == paramReadOnly:
			own[name] = value
		default:
			forEndpoint[name] = value
		}
	}
	for name, value := range parseOptions(all["options"]) {
		if strings.HasPrefix(name, paramPrefix) || name == paramReadOnly {
			own[name] = value
		} else {
			forEndpoint[name] = value
		}
	}
	return own, forEndpoint
}

// paramReadOnly is the standard parameter for the default access mode.
const paramReadOnly = "default_transaction_read_only"

// parseOptions reads the "-c name=value" and "--name=value" settings of the
// standard start-up parameter options.
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
