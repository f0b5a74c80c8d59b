package timeline

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"os"
	"path/filepath"

	"google.golang.org/protobuf/encoding/protojson"

	timelinepb "hemlockmast/api/timeline"
)

const (
	fileName    = "timeline.jsonl"
	oldFileName = "timeline.1.jsonl"
	// maxLineBytes bounds the line of one event.
	maxLineBytes = 16 << 10
	// flushBatchEvents is how many events Journal.WriteTo writes at once.
	flushBatchEvents = 256
)

// Store keeps events in two files, as lines of JSON with one event each. When the newer
// file reaches its limit, it replaces the older one. Events are for operators and nothing
// depends on them for correctness, so they are not synced, and a damaged line is skipped
// and counted. A Store is not safe for concurrent use.
type Store struct {
	dir string
	// limit is the maximum size of one file, in bytes.
	limit int64
	file  *os.File
	size  int64
}

// OpenStore opens the files in dir for appending. Each file holds at most limit bytes, so
// both together at most twice that. Errors: *FileError.
func OpenStore(dir string, limit int64) (*Store, error) {
	s := &Store{dir: dir, limit: limit}
	if err := s.open(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Store) open() error {
	name := filepath.Join(s.dir, fileName)
	file, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o640)
	if err != nil {
		return &FileError{Op: "open", Name: fileName, Cause: err}
	}
	info, err := file.Stat()
	if err != nil {
		_ = file.Close()
		return &FileError{Op: "stat", Name: fileName, Cause: err}
	}
	s.file, s.size = file, info.Size()
	return nil
}

// Append appends events to the newer file. Errors: *FileError.
func (s *Store) Append(events []*timelinepb.Event) error {
	var buf bytes.Buffer
	for _, e := range events {
		line, err := protojson.Marshal(e)
		if err != nil {
			return &FileError{Op: "encode for", Name: fileName, Cause: err}
		}
		buf.Write(line)
		buf.WriteByte('\n')
	}
	if s.size+int64(buf.Len()) > s.limit && s.size > 0 {
		if err := s.rotate(); err != nil {
			return err
		}
	}
	n, err := s.file.Write(buf.Bytes())
	s.size += int64(n)
	if err != nil {
		return &FileError{Op: "write", Name: fileName, Cause: err}
	}
	return nil
}

// rotate replaces the older file by the newer one and opens an empty newer file.
func (s *Store) rotate() error {
	_ = s.file.Close()
	err := os.Rename(filepath.Join(s.dir, fileName), filepath.Join(s.dir, oldFileName))
	if err != nil {
		return &FileError{Op: "rename", Name: fileName, Cause: err}
	}
	return s.open()
}

// Close closes the newer file.
func (s *Store) Close() error { return s.file.Close() }

// ReadStore returns the events in dir from the oldest to the newest, and the number of
// damaged lines, such as one that was only partly written before a crash. Errors:
// *FileError.
func ReadStore(dir string) (events []*timelinepb.Event, damaged int, err error) {
	for _, name := range []string{oldFileName, fileName} {
		file, err := os.Open(filepath.Join(dir, name))
		if os.IsNotExist(err) {
			continue
		}
		if err != nil {
			return nil, 0, &FileError{Op: "open", Name: name, Cause: err}
		}
		list, bad, err := readLines(file)
		_ = file.Close()
		if err != nil {
			return nil, 0, &FileError{Op: "read", Name: name, Cause: err}
		}
		events = append(events, list...)
		damaged += bad
	}
	return events, damaged, nil
}

func readLines(r io.Reader) (events []*timelinepb.Event, damaged int, err error) {
	reader := bufio.NewReaderSize(r, maxLineBytes)
	for {
		line, err := reader.ReadSlice('\n')
		if err == bufio.ErrBufferFull {
			damaged++
			if err = skipLine(reader); err == nil {
				continue
			}
		} else if len(line) > 0 {
			e := &timelinepb.Event{}
			if protojson.Unmarshal(line, e) == nil && e.Stamp != nil {
				events = append(events, e)
			} else {
				damaged++
			}
		}
		if err == io.EOF {
			return events, damaged, nil
		}
		if err != nil {
			return nil, 0, err
		}
	}
}

// skipLine reads to the end of a line that is longer than the reader's buffer.
func skipLine(reader *bufio.Reader) error {
	for {
		_, err := reader.ReadSlice('\n')
		if err != bufio.ErrBufferFull {
			return err
		}
	}
}

// Restore adds the latest of earlier events to a new journal, as many as fit. It must be
// called before the first Record. Later stamps are after those of the restored events,
// except those more than MaxAhead ahead of the wall clock.
func (j *Journal) Restore(events []*timelinepb.Event) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if room := len(j.ring); len(events) > room {
		events = events[len(events)-room:]
	}
	for _, e := range events {
		_ = j.clock.Accept(j.now(), stampFromProto(e.Stamp))
		e.Sequence = j.next
		j.ring[j.next%uint64(len(j.ring))] = e
		j.next++
	}
}

// WriteTo appends events to store as they are recorded, starting after the sequence
// number after. When ctx ends, it writes the remaining events and returns nil. Events that
// were overwritten before they could be written are recorded as lost. Errors: *FileError
// if store fails; the journal in memory continues to work.
func (j *Journal) WriteTo(ctx context.Context, store *Store, after uint64) error {
	for {
		changed := j.Changed()
		next, err := j.flush(store, after)
		if err != nil {
			return err
		}
		after = next
		select {
		case <-changed:
		case <-ctx.Done():
			_, err := j.flush(store, after)
			return err
		}
	}
}

// flush writes the events after the sequence number after. It returns the sequence number
// to continue after.
func (j *Journal) flush(store *Store, after uint64) (uint64, error) {
	for {
		page := j.After(after, nil, flushBatchEvents)
		if page.Lost > 0 {
			j.Record(&timelinepb.Event{
				Kind:   timelinepb.Kind_KIND_EVENTS_LOST,
				Count:  page.Lost,
				Detail: "events came faster than the disk took them",
			})
		}
		if len(page.Events) == 0 {
			return page.Next, nil
		}
		if err := store.Append(page.Events); err != nil {
			return after, err
		}
		after = page.Next
	}
}

// Last returns the sequence number of the newest event, or 0 if there is none.
func (j *Journal) Last() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.next - 1
}
