package holder

import "hemlockmast/internal/wire/pgwire"

// replyAction is what the holder does with the reply to one message.
type replyAction uint8

const (
	// replyForward forwards the reply to the caller.
	replyForward replyAction = iota
	// replyDiscard drops the reply because the holder sent the message itself.
	replyDiscard
	// replySynthetic forwards a reply that the holder generated.
	replySynthetic
)

// expectedReply is the pending reply to one message sent.
type expectedReply struct {
	action replyAction
	// message is the type byte of the message sent.
	message byte
	// data is the generated reply of replySynthetic.
	data []byte
	// prepares names the statement that is prepared once the reply reports
	// success.
	prepares string
	// closes names the statement that is closed once the reply reports success.
	closes string
}

// isLastReply reports whether a message of type reply completes the reply to
// the message sent.
func (e *expectedReply) isLastReply(reply byte) bool {
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

// endsBatch reports whether the endpoint answers the message with ReadyForQuery
// even if an earlier message failed.
func (e *expectedReply) endsBatch() bool {
	return e.message == pgwire.MsgQuery || e.message == pgwire.MsgSync
}
