package disk

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"

	"hemlockmast/internal/testing/standin/store"
)

const (
	// fileName is the journal's name in the data folder.
	fileName = "standin.journal"
	// headerBytes is the length of an entry's header: the body's length, the
	// body's CRC-32, and the CRC-32 of these two fields.
	headerBytes = 12
	// headerCRCOffset is the offset of the header's own CRC-32, which covers the
	// bytes before it.
	headerCRCOffset = 8
	// maxEntryBytes is the maximum length of an entry's body.
	maxEntryBytes = 256 << 20
)

// CorruptError reports a damaged entry that is not the torn end of the journal.
// Offset is the byte at which the entry starts.
type CorruptError struct {
	Path   string
	Offset int64
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s: damaged entry at byte %d", e.Path, e.Offset)
}

// IOError reports that the file operation Op failed.
type IOError struct {
	Op  string
	Err error
}

func (e *IOError) Error() string { return "stand-in disk: " + e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *IOError) Unwrap() error { return e.Err }

// entry is one entry of the journal. One field is set.
type entry struct {
	Meta     *Meta          `json:"m,omitempty"`
	Records  []store.Record `json:"r,omitempty"`
	Truncate *int           `json:"t,omitempty"`
}

// File is a Disk whose state is one append-only journal file.
type File struct {
	f    *os.File
	path string
	size int64 // of the whole entries, in bytes
	meta Meta
	log  []store.Record
	// broken states that a failed write may have left part of an entry at the
	// end that could not be removed. Nothing is written after it.
	broken bool
}

// OpenFile opens the journal in dir and creates both if needed. It removes a torn
// last entry, whose write never returned. Errors: *IOError, *CorruptError.
func OpenFile(dir string) (*File, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, &IOError{Op: "make folder", Err: err}
	}
	path := filepath.Join(dir, fileName)
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, &IOError{Op: "open", Err: err}
	}
	d := &File{f: f, path: path}
	if err := d.replay(); err != nil {
		f.Close()
		return nil, err
	}
	return d, syncDir(dir)
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return &IOError{Op: "open folder", Err: err}
	}
	defer d.Close()
	if err := d.Sync(); err != nil {
		return &IOError{Op: "sync folder", Err: err}
	}
	return nil
}

// replay reads the journal from its start and removes a torn last entry.
func (d *File) replay() error {
	info, err := d.f.Stat()
	if err != nil {
		return &IOError{Op: "stat", Err: err}
	}
	total := info.Size()
	r := bufio.NewReader(d.f)
	for {
		n, ok, err := d.replayEntry(r, total-d.size)
		if err != nil {
			return err
		}
		if !ok {
			break
		}
		d.size += n
	}
	if err := d.f.Truncate(d.size); err != nil {
		return &IOError{Op: "truncate", Err: err}
	}
	_, err = d.f.Seek(d.size, io.SeekStart)
	if err != nil {
		return &IOError{Op: "seek", Err: err}
	}
	return nil
}

// replayEntry applies the next entry and returns its length in bytes. remaining
// is the number of bytes not yet read. It reports false at the end of the journal
// and at a torn last entry. A damaged header, or a damaged body with more bytes
// after it, is a *CorruptError.
func (d *File) replayEntry(r io.Reader, remaining int64) (int64, bool, error) {
	if remaining < headerBytes {
		return 0, false, nil
	}
	var head [headerBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, false, &IOError{Op: "read", Err: err}
	}
	n := int64(binary.BigEndian.Uint32(head[:4]))
	// The header has its own checksum because a damaged length would otherwise
	// look like a torn last entry.
	if crc32.ChecksumIEEE(head[:headerCRCOffset]) != binary.BigEndian.Uint32(head[headerCRCOffset:]) || n > maxEntryBytes {
		return 0, false, &CorruptError{Path: d.path, Offset: d.size}
	}
	if remaining < headerBytes+n {
		return 0, false, nil
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return 0, false, &IOError{Op: "read", Err: err}
	}
	var e entry
	valid := crc32.ChecksumIEEE(body) == binary.BigEndian.Uint32(head[4:headerCRCOffset])
	if valid {
		valid = json.Unmarshal(body, &e) == nil
	}
	if !valid {
		if remaining == headerBytes+n {
			return 0, false, nil
		}
		return 0, false, &CorruptError{Path: d.path, Offset: d.size}
	}
	d.apply(e)
	return headerBytes + n, true, nil
}

func (d *File) apply(e entry) {
	if e.Meta != nil {
		d.meta = *e.Meta
	}
	d.log = append(d.log, e.Records...)
	if e.Truncate != nil {
		d.log = d.log[:min(*e.Truncate, len(d.log))]
	}
}

func (d *File) write(e entry) error {
	if d.broken {
		return &IOError{Op: "write", Err: os.ErrInvalid}
	}
	body, err := json.Marshal(e)
	if err != nil {
		return &IOError{Op: "encode", Err: err}
	}
	if len(body) > maxEntryBytes {
		return &IOError{Op: "write", Err: io.ErrShortBuffer}
	}
	buf := make([]byte, headerBytes, headerBytes+len(body))
	binary.BigEndian.PutUint32(buf[:4], uint32(len(body)))
	binary.BigEndian.PutUint32(buf[4:], crc32.ChecksumIEEE(body))
	binary.BigEndian.PutUint32(buf[headerCRCOffset:], crc32.ChecksumIEEE(buf[:headerCRCOffset]))
	if _, err = d.f.Write(append(buf, body...)); err == nil {
		err = d.f.Sync()
	}
	if err != nil {
		d.removePartialEntry()
		return &IOError{Op: "write", Err: err}
	}
	d.size += int64(headerBytes + len(body))
	return nil
}

// removePartialEntry removes what a failed write left at the end of the journal.
func (d *File) removePartialEntry() {
	err := d.f.Truncate(d.size)
	if err == nil {
		_, err = d.f.Seek(d.size, io.SeekStart)
	}
	d.broken = err != nil
}

// Load implements Disk. It releases the File's copy of the log, so a second call
// returns no records.
func (d *File) Load() (Meta, []store.Record, error) {
	log := d.log
	d.log = nil
	return d.meta, log, nil
}

// SaveMeta implements Disk.
func (d *File) SaveMeta(m Meta) error { return d.write(entry{Meta: &m}) }

// Append implements Disk.
func (d *File) Append(recs []store.Record) error { return d.write(entry{Records: recs}) }

// Truncate implements Disk.
func (d *File) Truncate(n int) error { return d.write(entry{Truncate: &n}) }

// Wipe implements Disk.
func (d *File) Wipe() error {
	d.meta, d.log, d.size, d.broken = Meta{}, nil, 0, false
	if err := d.f.Truncate(0); err != nil {
		return &IOError{Op: "truncate", Err: err}
	}
	if _, err := d.f.Seek(0, io.SeekStart); err != nil {
		return &IOError{Op: "seek", Err: err}
	}
	if err := d.f.Sync(); err != nil {
		return &IOError{Op: "sync", Err: err}
	}
	return nil
}

// Close implements Disk.
func (d *File) Close() error { return d.f.Close() }
