package control

import (
	"crypto/rand"
	"encoding/binary"
)

// RandomID returns a cryptographically random nonzero number, for
// Config.NewID.
func RandomID() uint64 {
	var b [8]byte
	for {
		_, _ = rand.Read(b[:])
		if n := binary.BigEndian.Uint64(b[:]); n != 0 {
			return n
		}
	}
}
