// Package sessions gives the entry the state of its callers' sessions. A session
// that the caller named is kept in the directory, so that any daemon may serve
// it next; any session's state also travels with its caller as a token.
package sessions

import (
	"context"

	"github.com/go-faster/errors"

	"hemlockmast/internal/entryside/entry"
	"hemlockmast/internal/entryside/session"
	"hemlockmast/internal/entryside/session/directoryrpc"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/outcome"
)

// Directory keeps floors by session id. It is implemented by
// directoryrpc.Client.
type Directory interface {
	Lookup(ctx context.Context, id session.ID) directoryrpc.Reading
	Record(ctx context.Context, id session.ID, floors session.Floors) error
	CanRecord(id session.ID) error
	Settle(ctx context.Context, reading directoryrpc.Reading, floors session.Floors) []*directoryrpc.CopyError
}

// Opener implements entry.Sessions.
type Opener struct {
	keys *session.Keys
	dir  Directory
}

var _ entry.Sessions = (*Opener)(nil)

// NewOpener returns an Opener that signs and checks tokens with keys.
func NewOpener(keys *session.Keys, dir Directory) *Opener {
	return &Opener{keys: keys, dir: dir}
}

// Open implements entry.Sessions.
func (o *Opener) Open(id, token string) (entry.SessionHandle, *outcome.Error) {
	h := &handle{opener: o}
	if id != "" {
		parsed, err := session.ParseID(id)
		if err != nil {
			return nil, refused(outcome.CodeInvalidParameter, err)
		}
		h.named = true
		h.state = session.Resume(parsed)
	}
	if token != "" {
		if err := h.takeToken(token); err != nil {
			return nil, refused(outcome.CodeInvalidSessionToken, err)
		}
	}
	if h.state == nil {
		h.state = session.New("")
	}
	return h, nil
}

func refused(code string, err error) *outcome.Error {
	return outcome.NotRunError(code, outcome.ReasonProtocol, "the session cannot be resumed", err)
}

// handle is one caller's session. It is used by one goroutine.
type handle struct {
	opener *Opener
	state  *session.State
	// named states that the session is kept in the directory.
	named bool
	// reading is what the directory said last.
	reading directoryrpc.Reading
}

// takeToken adds what a token carries. A token that names a session makes the
// session a named one.
func (h *handle) takeToken(text string) error {
	token, err := h.opener.keys.Decode(text)
	if err != nil {
		return err
	}
	if h.named {
		return h.state.AddToken(token)
	}
	if token.ID == "" {
		h.state = session.FromToken(token)
		return nil
	}
	h.named = true
	h.state = session.Resume(token.ID)
	return h.state.AddToken(token)
}

// Floor implements entry.SessionHandle. Another connection of a named session
// may have written a moment ago through another daemon, so that the directory
// is asked each time and what is known here counts as a lower bound only.
func (h *handle) Floor(ctx context.Context, group string) (session.GroupFloor, error) {
	if !h.named {
		return h.state.Floor(group), nil
	}
	fresh := session.Resume(h.state.ID())
	lower := session.Token{ID: h.state.ID(), Floors: h.state.Floors()}
	if err := fresh.AddToken(lower); err != nil {
		return session.GroupFloor{}, tooManyGroups(err)
	}
	h.reading = h.opener.dir.Lookup(ctx, h.state.ID())
	if err := fresh.Learn(h.reading.Floors, h.reading.Complete); err != nil {
		return session.GroupFloor{}, tooManyGroups(err)
	}
	h.state = fresh
	return h.state.Floor(group), nil
}

// Settle implements entry.SessionHandle.
func (h *handle) Settle(ctx context.Context, group string, pos logpos.Pos) error {
	if err := h.state.Settle(group, pos); err != nil {
		return tooManyGroups(err)
	}
	if h.named {
		h.opener.dir.Settle(ctx, h.reading, h.state.Floors())
	}
	return nil
}

// CanWrite implements entry.SessionHandle.
func (h *handle) CanWrite(string) error {
	if !h.named {
		return nil
	}
	if err := h.opener.dir.CanRecord(h.state.ID()); err != nil {
		return outcome.NotRunError(outcome.CodeCannotConnectNow, outcome.ReasonNoDirectory,
			"the session's writes could not be recorded", err)
	}
	return nil
}

// Raise implements entry.SessionHandle.
func (h *handle) Raise(ctx context.Context, group string, pos logpos.Pos, confirmedBy string) error {
	if err := h.state.Raise(group, pos, confirmedBy); err != nil {
		return outcome.UnknownError(outcome.ReasonNoDirectory, "the session wrote to too many groups", err)
	}
	if !h.named {
		return nil
	}
	if err := h.opener.dir.Record(ctx, h.state.ID(), h.state.Floors()); err != nil {
		return outcome.UnknownError(outcome.ReasonNoDirectory, "the session's write was not recorded", err)
	}
	return nil
}

// Token implements entry.SessionHandle. A state that does not fit a token gives
// the empty text, which no daemon takes for a token.
func (h *handle) Token() string {
	text, err := h.opener.keys.Encode(session.Token{
		ID: h.state.ID(), Complete: h.state.Complete(), Floors: h.state.Floors(),
	})
	if err != nil {
		return ""
	}
	return text
}

func tooManyGroups(err error) error {
	var limit *session.GroupLimitError
	if errors.As(err, &limit) {
		return outcome.NotRunError(outcome.CodeLimitExceeded, outcome.ReasonTooLarge,
			"the session uses too many groups", err)
	}
	return outcome.NotRunError(outcome.CodeInvalidSessionToken, outcome.ReasonProtocol,
		"the session cannot be resumed", err)
}
