package holder

import "hemlockmast/internal/wire/pgwire"

// expectKind says what is done with the reply to one message.
type expectKind uint8

const (
	// expectForward passes the reply on to the caller.
	expectForward expectKind = iota
	// expectSwallow drops the reply; the holder sent the message on its own.
	expectSwallow
	// expectSynthetic passes on data that the holder made up.
	expectSynthetic
)

// expectation is one reply that is due, in the order of the messages sent.
type expectation struct {
	kind expectKind
	// message is the type byte of the message sent.
	message byte
	// data is the made-up reply of expectSynthetic.
	data []byte
	// prepares names the statement that a successful reply makes prepared.
	prepares string
	// forgets names the statement that a successful reply makes unknown.
	forgets string
}

// ends reports whether a reply of type reply is the last one due to the
// message of this expectation.
func (e *expectation) ends(reply byte) bool {
	switch e.message {
	case pgwire.MsgParse:
		return reply == pgwire.MsgParseComplete
	case pgwire.MsgBind:
		return reply == pgwire.MsgBindComplete
	case pgwire.MsgClose:
		return reply == pgwire.MsgCloseComplete
	case pgwire.MsgDescribe:
		return reply == pgwire.MsgRowDescription || reply == pgwire.MsgNoData
	case pgwire.MsgExecute:
		return reply == pgwire.MsgCommandComplete ||
			reply == pgwire.MsgEmptyQueryResponse ||
			reply == pgwire.MsgPortalSuspended
	case pgwire.MsgQuery, pgwire.MsgSync:
		return reply == pgwire.MsgReadyForQuery
	default:
		return false
	}
}

// endsBatch reports whether the message is one after which the endpoint says
// ReadyForQuery, also when an earlier message failed.
func (e *expectation) endsBatch() bool {
	return e.message == pgwire.MsgQuery || e.message == pgwire.MsgSync
}
