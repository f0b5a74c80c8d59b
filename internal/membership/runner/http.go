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
	// ExchangePath is where daemons exchange tables.
	ExchangePath = "/v1/membership"
	// contentType is that of a table.
	contentType = "application/x-protobuf"
)

// Register adds the handlers of announcements and exchanges.
func (r *Runner) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST "+announcer.Path, r.handleAnnounce)
	mux.HandleFunc("POST "+ExchangePath, r.handleExchange)
}

func (r *Runner) handleAnnounce(w http.ResponseWriter, req *http.Request) {
	var a announcer.Announcement
	dec := json.NewDecoder(http.MaxBytesReader(w, req.Body, announcer.MaxBytes))
	if err := dec.Decode(&a); err != nil {
		refuse(w, http.StatusBadRequest, "invalid", err)
		return
	}
	var err error
	r.do(req.Context(), func(s *membership.State, now time.Time) membership.Effects {
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
		refuse(w, http.StatusNotFound, "unknown_slot", err)
	case errors.As(err, &conflict):
		refuse(w, http.StatusConflict, "slot_conflict", err)
	default:
		refuse(w, http.StatusBadRequest, "invalid", err)
	}
}

func refuse(w http.ResponseWriter, status int, kind string, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(announcer.Refusal{Error: kind, Message: err.Error()})
}

// handleExchange answers a table: only its digest if both are equal.
func (r *Runner) handleExchange(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxTableBytes))
	if err != nil {
		refuse(w, http.StatusRequestEntityTooLarge, "invalid", err)
		return
	}
	t, err := decodeTable(body)
	if err != nil {
		refuse(w, http.StatusBadRequest, "invalid", err)
		return
	}
	data, err := encodeTable(r.merge(req.Context(), t, !t.Full))
	if err != nil {
		refuse(w, http.StatusInternalServerError, "internal", err)
		return
	}
	w.Header().Set("Content-Type", contentType)
	w.Write(data)
}

// merge takes a table and returns the answer: the whole table if wanted and the
// digests differ.
func (r *Runner) merge(ctx context.Context, t membership.Table, wantFull bool) membership.Table {
	var answer membership.Table
	r.do(ctx, func(s *membership.State, now time.Time) membership.Effects {
		eff, differs := s.Merge(now, t)
		answer = s.Digest()
		if differs && wantFull {
			answer = s.Full(now)
		}
		return eff
	})
	return answer
}

// exchange compares tables with another daemon. A failure is left to the next
// turn.
func (r *Runner) exchange(ctx context.Context, admin string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	r.mu.Lock()
	ask := r.state.Digest()
	r.mu.Unlock()
	answer, err := r.post(ctx, admin, ask)
	if err != nil {
		return
	}
	mine := r.merge(ctx, answer, answer.Full)
	if answer.Full && mine.Full {
		r.post(ctx, admin, mine)
	}
}

// StatusError reports an exchange that the other daemon refused.
type StatusError struct{ Status string }

func (e *StatusError) Error() string { return "exchange refused: " + e.Status }

func (r *Runner) post(ctx context.Context, admin string, t membership.Table) (membership.Table, error) {
	data, err := encodeTable(t)
	if err != nil {
		return membership.Table{}, &DecodeError{Err: err}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+admin+ExchangePath, bytes.NewReader(data))
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
