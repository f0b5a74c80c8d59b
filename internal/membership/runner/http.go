package runner

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"hemlockmast/internal/membership"
	"hemlockmast/internal/membership/announcer"
)

const (
	// ExchangePath is the HTTP path at which daemons exchange tables by POST.
	ExchangePath = "/v1/membership"
	// contentType is the media type of an encoded table.
	contentType = "application/x-protobuf"
)

// Register adds the handlers for announcements and table exchanges to mux.
func (r *Runner) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST "+announcer.Path, r.handleAnnounce)
	mux.HandleFunc("POST "+ExchangePath, r.handleExchange)
}

func (r *Runner) handleAnnounce(w http.ResponseWriter, req *http.Request) {
	var a announcer.Announcement
	dec := json.NewDecoder(http.MaxBytesReader(w, req.Body, announcer.MaxMessageBytes))
	if err := dec.Decode(&a); err != nil {
		writeRefusal(w, http.StatusBadRequest, "invalid", err)
		return
	}
	var err error
	r.applyEvent(req.Context(), func(s *membership.State, now time.Time) membership.Effects {
		var eff membership.Effects
		eff, err = s.Announce(now, membership.Claim{
			SlotID:  membership.SlotID{Group: a.Group, Slot: a.Slot},
			Address: a.Address, Incarnation: a.Incarnation,
			Started: a.Started, Sequence: a.Sequence, Leaving: a.Leaving,
		})
		return eff
	})
	var unknown *membership.UnknownSlotError
	var conflict *membership.SlotConflictError
	switch {
	case err == nil:
		w.WriteHeader(http.StatusNoContent)
	case errors.As(err, &unknown):
		writeRefusal(w, http.StatusNotFound, "unknown_slot", err)
	case errors.As(err, &conflict):
		writeRefusal(w, http.StatusConflict, "slot_conflict", err)
	default:
		writeRefusal(w, http.StatusBadRequest, "invalid", err)
	}
}

// writeRefusal answers with an announcer.Refusal, whose Error is kind.
func writeRefusal(w http.ResponseWriter, status int, kind string, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(announcer.Refusal{Error: kind, Message: err.Error()})
}

// handleExchange answers a table with this daemon's table. The answer is only a
// digest if the digests are equal or the request was a whole table.
func (r *Runner) handleExchange(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxTableBytes))
	if err != nil {
		writeRefusal(w, http.StatusRequestEntityTooLarge, "invalid", err)
		return
	}
	t, err := decodeTable(body)
	if err != nil {
		writeRefusal(w, http.StatusBadRequest, "invalid", err)
		return
	}
	data, err := encodeTable(r.merge(req.Context(), t, !t.Full))
	if err != nil {
		writeRefusal(w, http.StatusInternalServerError, "internal", err)
		return
	}
	w.Header().Set("Content-Type", contentType)
	w.Write(data)
}

// merge merges a table and returns the table to answer with: the whole one if
// sendFull is set and the digests differ, otherwise only the digest.
func (r *Runner) merge(ctx context.Context, t membership.Table, sendFull bool) membership.Table {
	var answer membership.Table
	r.applyEvent(ctx, func(s *membership.State, now time.Time) membership.Effects {
		eff, differs := s.Merge(now, t)
		answer = s.Digest()
		if differs && sendFull {
			answer = s.Full(now)
		}
		return eff
	})
	return answer
}

// exchange compares tables with another daemon. It ignores a failure, because the
// state machine starts another exchange later.
func (r *Runner) exchange(ctx context.Context, adminAddr string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	r.mu.Lock()
	request := r.state.Digest()
	r.mu.Unlock()
	answer, err := r.post(ctx, adminAddr, request)
	if err != nil {
		return
	}
	own := r.merge(ctx, answer, answer.Full)
	if answer.Full && own.Full {
		r.post(ctx, adminAddr, own)
	}
}

// StatusError reports the HTTP status with which another daemon refused an
// exchange.
type StatusError struct{ Status string }

func (e *StatusError) Error() string { return "exchange refused: " + e.Status }

// post sends a table to another daemon and returns its answer.
func (r *Runner) post(ctx context.Context, adminAddr string, t membership.Table) (membership.Table, error) {
	data, err := encodeTable(t)
	if err != nil {
		return membership.Table{}, &DecodeError{Err: err}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+adminAddr+ExchangePath, bytes.NewReader(data))
	if err != nil {
		return membership.Table{}, err
	}
	req.Header.Set("Content-Type", contentType)
	resp, err := r.client.Do(req)
	if err != nil {
		return membership.Table{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return membership.Table{}, &StatusError{Status: resp.Status}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxTableBytes))
	if err != nil {
		return membership.Table{}, err
	}
	return decodeTable(body)
}
