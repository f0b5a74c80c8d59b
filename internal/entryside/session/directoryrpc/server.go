// Package directoryrpc gives access to the session directory over twirp. Server
// serves one daemon's part of it. Client reads and writes both copies of an entry.
// The decisions are made by package directory.
package directoryrpc

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/twitchtv/twirp"

	directorypb "hemlockmast/api/directory"
	"hemlockmast/internal/entryside/session"
	"hemlockmast/internal/entryside/session/directory"
)

const (
	// MaxBatch is the maximum number of operations in one call.
	MaxBatch = 512
	// maxRequestBytes limits the size of a call's request body.
	maxRequestBytes = 4 << 20
	// shards is the number of independently locked parts of a server's table.
	shards = 16
)

// Server holds and serves one daemon's part of the directory. It is safe for
// concurrent use.
type Server struct {
	now    func() time.Time
	shards [shards]shard
}

// shard is a part of the table with its own lock. Lock order: no other lock is
// taken while a shard's lock is held, and no two shards are locked at once.
type shard struct {
	mu    sync.Mutex
	table *directory.Table
}

// NewServer returns a server with an empty table. incarnation must differ for each
// start of each daemon. The limits apply to the whole server.
func NewServer(incarnation uint64, limits directory.Limits, now func() time.Time) *Server {
	limits.MaxEntries = max(1, limits.MaxEntries/shards)
	s := &Server{now: now}
	for i := range s.shards {
		s.shards[i].table = directory.NewTable(incarnation, limits)
	}
	return s
}

// Handler returns the HTTP handler to mount at PathPrefix. It limits the size of
// request bodies.
func (s *Server) Handler() http.Handler {
	return http.MaxBytesHandler(directorypb.NewDirectoryServer(s), maxRequestBytes)
}

// PathPrefix is the URL path prefix at which Handler must be mounted.
const PathPrefix = directorypb.DirectoryPathPrefix

// Stats returns the sum of the statistics of all shards.
func (s *Server) Stats() directory.Stats {
	var sum directory.Stats
	for i := range s.shards {
		counts := s.shards[i].stats()
		sum.Entries += counts.Entries
		sum.Evicted += counts.Evicted
		sum.Expired += counts.Expired
	}
	return sum
}

func (h *shard) stats() directory.Stats {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Stats()
}

// Batch executes the operations in order. If an operation is refused, its answer
// contains the reason, and the other operations are still executed. A batch with
// more than MaxBatch operations is refused as a whole.
func (s *Server) Batch(_ context.Context, req *directorypb.BatchRequest) (*directorypb.BatchResponse, error) {
	if len(req.Operations) > MaxBatch {
		return nil, twirp.InvalidArgumentError("operations", (&BatchSizeError{Size: len(req.Operations)}).Error())
	}
	out := &directorypb.BatchResponse{Answers: make([]*directorypb.Answer, 0, len(req.Operations))}
	for _, op := range req.Operations {
		out.Answers = append(out.Answers, s.apply(op))
	}
	return out, nil
}

func (s *Server) apply(op *directorypb.Operation) *directorypb.Answer {
	id, err := session.ParseID(op.SessionId)
	if err != nil {
		return &directorypb.Answer{Error: err.Error()}
	}
	floors, err := session.FloorsFromProto(op.Floors)
	if err != nil {
		return &directorypb.Answer{Error: err.Error()}
	}
	h := &s.shards[xxhash.Sum64String(string(id))%shards]
	answer, err := h.apply(s.now(), op, id, floors)
	if err != nil {
		return &directorypb.Answer{Error: err.Error()}
	}
	return answerToProto(answer)
}

func (h *shard) apply(now time.Time, op *directorypb.Operation, id session.ID, floors session.Floors) (directory.Answer, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch op.Kind {
	case directorypb.OperationKind_OPERATION_LOOKUP:
		return h.table.Lookup(now, id), nil
	case directorypb.OperationKind_OPERATION_CREATE:
		return h.table.Create(now, id), nil
	case directorypb.OperationKind_OPERATION_RECORD:
		return h.table.Record(now, id, floors), nil
	case directorypb.OperationKind_OPERATION_SETTLE:
		return h.table.Settle(now, id, stampFromProto(op.Stamp), floors), nil
	}
	return directory.Answer{}, &OperationError{Kind: op.Kind}
}

func stampFromProto(s *directorypb.Stamp) directory.Stamp {
	return directory.Stamp{Incarnation: s.GetIncarnation(), Serial: s.GetSerial()}
}

func stampToProto(s directory.Stamp) *directorypb.Stamp {
	return &directorypb.Stamp{Incarnation: s.Incarnation, Serial: s.Serial}
}

func answerToProto(a directory.Answer) *directorypb.Answer {
	return &directorypb.Answer{
		Stamp:    stampToProto(a.Stamp),
		Complete: a.Complete,
		Floors:   session.FloorsToProto(a.Floors),
	}
}

func answerFromProto(a *directorypb.Answer) (directory.Answer, error) {
	if a.Error != "" {
		return directory.Answer{}, &RefusedError{Reason: a.Error}
	}
	floors, err := session.FloorsFromProto(a.Floors)
	if err != nil {
		return directory.Answer{}, err
	}
	return directory.Answer{Stamp: stampFromProto(a.Stamp), Complete: a.Complete, Floors: floors}, nil
}
