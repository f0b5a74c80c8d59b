// Package packed compresses large messages between daemons. Configurations repeat the same
// names in each route, and traffic between failure domains is their largest cost.
package packed

import (
	"fmt"

	"github.com/klauspost/compress/s2"
	"google.golang.org/protobuf/proto"
)

const (
	// MinSize is the message size in bytes from which compression is worthwhile.
	MinSize = 4 << 10
	// maxBytes bounds the decompressed size of a message. It is several times the largest
	// configuration that operators may send.
	maxBytes = 64 << 20
)

// Error reports data that cannot be decompressed and decoded to a message.
type Error struct{ Cause error }

func (e *Error) Error() string { return fmt.Sprintf("compressed message: %v", e.Cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// SizeError reports a message whose decompressed size is above the limit.
type SizeError struct{ Bytes int }

func (e *SizeError) Error() string {
	return fmt.Sprintf("decompressed size of %d bytes is above the limit", e.Bytes)
}

// Marshal encodes and compresses a message. Errors: those of proto.Marshal.
func Marshal(m proto.Message) ([]byte, error) {
	data, err := proto.Marshal(m)
	if err != nil {
		return nil, err
	}
	return s2.EncodeBetter(nil, data), nil
}

// Unmarshal decompresses and decodes a message. Errors: *Error.
func Unmarshal(data []byte, m proto.Message) error {
	n, err := s2.DecodedLen(data)
	if err != nil {
		return &Error{Cause: err}
	}
	if n > maxBytes {
		return &Error{Cause: &SizeError{Bytes: n}}
	}
	plain, err := s2.Decode(nil, data)
	if err == nil {
		err = proto.Unmarshal(plain, m)
	}
	if err != nil {
		return &Error{Cause: err}
	}
	return nil
}
