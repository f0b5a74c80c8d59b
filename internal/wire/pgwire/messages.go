package pgwire

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"hemlockmast/internal/shared/outcome"
)

// Type bytes of the messages that callers send.
const (
	MsgBind      = 'B'
	MsgClose     = 'C'
	MsgDescribe  = 'D'
	MsgExecute   = 'E'
	MsgFlush     = 'H'
	MsgParse     = 'P'
	MsgPassword  = 'p'
	MsgQuery     = 'Q'
	MsgSync      = 'S'
	MsgTerminate = 'X'
)

// Type bytes of the messages that endpoints send.
const (
	MsgParseComplete      = '1'
	MsgBindComplete       = '2'
	MsgCloseComplete      = '3'
	MsgNotification       = 'A'
	MsgCommandComplete    = 'C'
	MsgDataRow            = 'D'
	MsgErrorResponse      = 'E'
	MsgCopyInResponse     = 'G'
	MsgCopyOutResponse    = 'H'
	MsgEmptyQueryResponse = 'I'
	MsgNoticeResponse     = 'N'
	MsgParameterStatus    = 'S'
	MsgRowDescription     = 'T'
	MsgCopyBothResponse   = 'W'
	MsgReadyForQuery      = 'Z'
	MsgNoData             = 'n'
	MsgPortalSuspended    = 's'
)

// AppendError appends an ErrorResponse for err. The detail field holds the
// outcome and the reason.
func AppendError(dst []byte, err *outcome.Error) []byte {
	return AppendErrorResponse(dst, "ERROR", err.Code, err.Message,
		"outcome: "+err.Outcome.String()+"; reason: "+string(err.Reason))
}

// AppendErrorResponse appends an ErrorResponse with the given fields. The code is a
// SQLSTATE.
func AppendErrorResponse(dst []byte, severity, code, message, detail string) []byte {
	msg := pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                code,
		Message:             message,
		Detail:              detail,
	}
	return mustEncode(msg.Encode(dst))
}

// AppendReadyForQuery appends a ReadyForQuery with the given transaction status.
func AppendReadyForQuery(dst []byte, txStatus byte) []byte {
	return append(dst, MsgReadyForQuery, 0, 0, 0, 5, txStatus)
}

// AppendEmptyMessage appends a message without a body.
func AppendEmptyMessage(dst []byte, msgType byte) []byte {
	return append(dst, msgType, 0, 0, 0, 4)
}

// AppendQuery appends a Query message (simple protocol).
func AppendQuery(dst []byte, sql string) []byte {
	msg := pgproto3.Query{String: sql}
	return mustEncode(msg.Encode(dst))
}

// AppendParse appends a Parse for the prepared statement name.
func AppendParse(dst []byte, name, query string, oids []uint32) []byte {
	msg := pgproto3.Parse{Name: name, Query: query, ParameterOIDs: oids}
	return mustEncode(msg.Encode(dst))
}

// AppendParameterStatus appends a ParameterStatus.
func AppendParameterStatus(dst []byte, name, value string) []byte {
	msg := pgproto3.ParameterStatus{Name: name, Value: value}
	return mustEncode(msg.Encode(dst))
}

// AppendCommandComplete appends a CommandComplete with the given tag.
func AppendCommandComplete(dst []byte, tag string) []byte {
	msg := pgproto3.CommandComplete{CommandTag: []byte(tag)}
	return mustEncode(msg.Encode(dst))
}

// mustEncode returns dst and panics if err is not nil. Encoding fails only for
// messages over 1 GiB, which the length limits of this package rule out.
func mustEncode(dst []byte, err error) []byte {
	if err != nil {
		panic(err)
	}
	return dst
}

// ErrorCode returns the SQLSTATE of an ErrorResponse body, or "" if there is
// none.
func ErrorCode(body []byte) string {
	for len(body) > 0 && body[0] != 0 {
		field := body[0]
		value := cString(body[1:])
		if field == 'C' {
			return string(value)
		}
		body = body[min(len(body), 2+len(value)):]
	}
	return ""
}

// CommandTag returns the tag of a CommandComplete body.
func CommandTag(body []byte) string { return string(cString(body)) }

// ParameterStatus returns the name and value of a ParameterStatus body.
func ParameterStatus(body []byte) (name, value string) {
	n := cString(body)
	rest := body[min(len(body), len(n)+1):]
	return string(n), string(cString(rest))
}

// cString returns the bytes of p before its first zero byte.
func cString(p []byte) []byte {
	for i, b := range p {
		if b == 0 {
			return p[:i]
		}
	}
	return p
}
