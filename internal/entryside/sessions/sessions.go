// Package sessions gives the entry access to the state of its callers' sessions.
// The state of a named session, whose id the caller set, is kept in the session
// directory, so that any daemon can continue the session. The state of every
// session is also given to the caller as a token.
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

// Directory stores floors by session id. directoryrpc.Client implements it and
// describes the methods.
type Directory interface {
	Lookup(ctx context.Context, id session.ID) directoryrpc.LookupResult
	Record(ctx context.Context, id session.ID, floors session.Floors) error
	CanRecord(id session.ID) error
	Settle(ctx context.Context, lookup directoryrpc.LookupResult, floors session.Floors) []*directoryrpc.CopyError
}

// Opener implements entry.Sessions.
type Opener struct {
	keys *session.Keys
	dir  Directory
}

var _ entry.Sessions = (*Opener)(nil)

// NewOpener returns an Opener that signs and verifies tokens with keys and keeps
// named sessions in dir.
func NewOpener(keys *session.Keys, dir Directory) *Opener {
	return &Opener{keys: keys, dir: dir}
}

// Open implements entry.Sessions.
func (o *Opener) Open(id, token string) (entry.SessionHandle, *outcome.Error) {
	h := &handle{opener: o}
	if id != "" {
		parsed, err := session.ParseID(id)
		if err != nil {
			return nil, resumeError(outcome.CodeInvalidParameter, err)
		}
		h.named = true
		h.state = session.Resume(parsed)
	}
	if token != "" {
		if err := h.addToken(token); err != nil {
			return nil, resumeError(outcome.CodeInvalidSessionToken, err)
		}
	}
	if h.state == nil {
		h.state = session.New("")
	}
	return h, nil
}

// resumeError returns the error for a caller whose session id or token is
// refused.
func resumeError(code string, err error) *outcome.Error {
	return outcome.NotRunError(code, outcome.ReasonProtocol, "the session cannot be resumed", err)
}

// handle is one caller's session. It is used by one goroutine.
type handle struct {
	opener *Opener
	state  *session.State
	// named states that the session has an id and is kept in the directory.
	named bool
	// lastLookup is the result of the last lookup in the directory.
	lastLookup directoryrpc.LookupResult
}

// addToken adds the state that a token carries. A token with a session id makes
// the session a named one.
func (h *handle) addToken(text string) error {
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

// Floor implements entry.SessionHandle. For a named session it asks the directory
// each time and uses the local floors as lower bounds only, because another
// connection of the session may just have written through another daemon.
func (h *handle) Floor(ctx context.Context, group string) (session.GroupFloor, error) {
	if !h.named {
		return h.state.Floor(group), nil
	}
	fresh := session.Resume(h.state.ID())
	lowerBounds := session.Token{ID: h.state.ID(), Floors: h.state.Floors()}
	if err := fresh.AddToken(lowerBounds); err != nil {
		return session.GroupFloor{}, floorError(err)
	}
	h.lastLookup = h.opener.dir.Lookup(ctx, h.state.ID())
	if err := fresh.Learn(h.lastLookup.Floors, h.lastLookup.Complete); err != nil {
		return session.GroupFloor{}, floorError(err)
	}
	h.state = fresh
	return h.state.Floor(group), nil
}

// Settle implements entry.SessionHandle.
func (h *handle) Settle(ctx context.Context, group string, pos logpos.Pos) error {
	if err := h.state.Settle(group, pos); err != nil {
		return floorError(err)
	}
	if h.named {
		h.opener.dir.Settle(ctx, h.lastLookup, h.state.Floors())
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

// Token implements entry.SessionHandle. It returns the empty string if the state
// does not fit into a token. Daemons treat an empty token as absent.
func (h *handle) Token() string {
	text, err := h.opener.keys.Encode(session.Token{
		ID: h.state.ID(), Complete: h.state.Complete(), Floors: h.state.Floors(),
	})
	if err != nil {
		return ""
	}
	return text
}

// floorError converts an error of session.State to the error for the caller.
func floorError(err error) error {
	var limit *session.GroupLimitError
	if errors.As(err, &limit) {
		return outcome.NotRunError(outcome.CodeLimitExceeded, outcome.ReasonTooLarge,
			"the session uses too many groups", err)
	}
	return outcome.NotRunError(outcome.CodeInvalidSessionToken, outcome.ReasonProtocol,
		"the session cannot be resumed", err)
}
