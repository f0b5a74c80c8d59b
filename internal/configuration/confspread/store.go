package confspread

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"google.golang.org/protobuf/proto"

	"hemlockmast/api/service"
)

// The file consists of a header of storeHeaderBytes and the encoded
// configuration. The header holds storeMagic, then the length of the
// configuration in bytes and its CRC-32C, both as big-endian 32-bit numbers.
const (
	storeFile        = "configuration.pb"
	storeMagic       = "HMCF0001"
	storeHeaderBytes = 16
	maxStoreBytes    = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Store keeps the last configuration of a daemon in a file.
type Store struct {
	dir string
}

// NewStore returns a store in the folder dir, which must exist.
func NewStore(dir string) *Store { return &Store{dir: dir} }

// DamagedFileError reports a stored configuration that cannot be decoded.
type DamagedFileError struct {
	File string
	// Offset is the position at which the check failed, in bytes.
	Offset int64
	Detail string
}

func (e *DamagedFileError) Error() string {
	return fmt.Sprintf("%s: damaged at offset %d: %s", e.File, e.Offset, e.Detail)
}

func (s *Store) path() string { return filepath.Join(s.dir, storeFile) }

// Load returns the stored configuration, or nil when there is none. For a
// damaged file it returns *DamagedFileError and leaves the file as it is.
func (s *Store) Load() (*service.Configuration, error) {
	f, err := os.Open(s.path())
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, storeHeaderBytes+maxStoreBytes+1))
	if err != nil {
		return nil, err
	}
	return s.decode(data)
}

func (s *Store) decode(data []byte) (*service.Configuration, error) {
	if len(data) < storeHeaderBytes {
		return nil, s.damaged(len(data), "header is truncated")
	}
	if string(data[:len(storeMagic)]) != storeMagic {
		return nil, s.damaged(0, "not a configuration file of a known format")
	}
	size := binary.BigEndian.Uint32(data[8:])
	content := data[storeHeaderBytes:]
	if uint64(len(content)) != uint64(size) {
		return nil, s.damaged(8, fmt.Sprintf("content has %d bytes, header states %d", len(content), size))
	}
	if crc32.Checksum(content, castagnoli) != binary.BigEndian.Uint32(data[12:]) {
		return nil, s.damaged(storeHeaderBytes, "checksum does not match")
	}
	var cfg service.Configuration
	if err := proto.Unmarshal(content, &cfg); err != nil {
		return nil, s.damaged(storeHeaderBytes, err.Error())
	}
	return &cfg, nil
}

func (s *Store) damaged(offset int, detail string) error {
	return &DamagedFileError{File: s.path(), Offset: int64(offset), Detail: detail}
}

// Save replaces the stored configuration and syncs it to disk. If that fails,
// Save removes the old file, so that a restart does not load an older revision.
// It returns *SaveError only if the removal fails too.
func (s *Store) Save(cfg *service.Configuration) error {
	err := s.replace(cfg)
	if err == nil {
		return nil
	}
	if removeErr := s.remove(); removeErr != nil {
		return &SaveError{Err: err, RemoveErr: removeErr}
	}
	return nil
}

// SaveError reports that a configuration could not be stored and that the
// previously stored one could not be removed.
type SaveError struct {
	Err       error
	RemoveErr error
}

func (e *SaveError) Error() string {
	return fmt.Sprintf("storing the configuration: %v; removing the old one: %v", e.Err, e.RemoveErr)
}

// Unwrap returns the reason why the configuration could not be stored.
func (e *SaveError) Unwrap() error { return e.Err }

func (s *Store) replace(cfg *service.Configuration) error {
	content, err := proto.Marshal(cfg)
	if err != nil {
		return err
	}
	if len(content) > maxStoreBytes {
		return &tooLargeError{bytes: len(content)}
	}
	header := make([]byte, storeHeaderBytes)
	copy(header, storeMagic)
	binary.BigEndian.PutUint32(header[8:], uint32(len(content)))
	binary.BigEndian.PutUint32(header[12:], crc32.Checksum(content, castagnoli))
	temporary := s.path() + ".tmp"
	if err := writeSynced(temporary, header, content); err != nil {
		return err
	}
	if err := os.Rename(temporary, s.path()); err != nil {
		return err
	}
	return syncDir(s.dir)
}

// tooLargeError reports a configuration above maxStoreBytes.
type tooLargeError struct{ bytes int }

func (e *tooLargeError) Error() string {
	return fmt.Sprintf("configuration has %d bytes, at most %d are stored", e.bytes, maxStoreBytes)
}

func (s *Store) remove() error {
	err := os.Remove(s.path())
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return syncDir(s.dir)
}

func writeSynced(path string, parts ...[]byte) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer f.Close()
	for _, part := range parts {
		if _, err := f.Write(part); err != nil {
			return err
		}
	}
	if err := f.Sync(); err != nil {
		return err
	}
	return f.Close()
}

func syncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}
