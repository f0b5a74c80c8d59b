package agreelog

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"google.golang.org/protobuf/proto"
)

// A file is a row of frames. A frame is a header and a payload:
//
//	4 bytes  magic
//	4 bytes  length of the payload
//	8 bytes  sequence number of the frame in the file, from 1
//	4 bytes  CRC-32C of the payload
//	4 bytes  CRC-32C of the 20 bytes above
//
// Numbers are big-endian. What one save writes is one frame, so that a save is
// there whole or not at all.
const (
	headerBytes = 24
	frameMagic  = "HMAL"
	// MaxFrameBytes bounds the payload of one frame.
	MaxFrameBytes = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

type frameHeader struct {
	length     uint32
	seq        uint64
	payloadCRC uint32
}

func appendFrame(dst []byte, seq uint64, payload []byte) []byte {
	start := len(dst)
	dst = append(dst, frameMagic...)
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(payload)))
	dst = binary.BigEndian.AppendUint64(dst, seq)
	dst = binary.BigEndian.AppendUint32(dst, crc32.Checksum(payload, castagnoli))
	dst = binary.BigEndian.AppendUint32(dst, crc32.Checksum(dst[start:], castagnoli))
	return append(dst, payload...)
}

// encode returns a record's payload, or *SizeError.
func encode(file string, record proto.Message) ([]byte, error) {
	payload, err := proto.Marshal(record)
	if err != nil || len(payload) > MaxFrameBytes {
		return nil, &SizeError{File: file, Bytes: proto.Size(record)}
	}
	return payload, nil
}

func parseHeader(data []byte) (frameHeader, bool) {
	if len(data) < headerBytes || string(data[:4]) != frameMagic {
		return frameHeader{}, false
	}
	if crc32.Checksum(data[:20], castagnoli) != binary.BigEndian.Uint32(data[20:]) {
		return frameHeader{}, false
	}
	h := frameHeader{
		length:     binary.BigEndian.Uint32(data[4:]),
		seq:        binary.BigEndian.Uint64(data[8:]),
		payloadCRC: binary.BigEndian.Uint32(data[16:]),
	}
	return h, h.length <= MaxFrameBytes
}

// readFrame returns the payload of the frame at the start of data. ok is false
// when the frame is not whole; reason then says why.
func readFrame(data []byte) (h frameHeader, payload []byte, reason DamageReason, ok bool) {
	h, ok = parseHeader(data)
	if !ok {
		return h, nil, DamageHeader, false
	}
	rest := data[headerBytes:]
	if uint64(h.length) > uint64(len(rest)) {
		return h, nil, DamageTruncated, false
	}
	payload = rest[:h.length]
	if crc32.Checksum(payload, castagnoli) != h.payloadCRC {
		return h, nil, DamageChecksum, false
	}
	return h, payload, 0, true
}

// laterFrame reports whether data holds a whole frame that proves that the one
// with number seq was durable. Saves are synced one after the other, so any
// later save and any later seal does, with one exception: the seal itself is
// synced only with the save behind it, and that save may be whole and torn off.
func laterFrame(data []byte, seq uint64) bool {
	for {
		i := bytes.Index(data, []byte(frameMagic))
		if i < 0 {
			return false
		}
		data = data[i:]
		if h, _, _, ok := readFrame(data); ok && (h.seq > seq+1 || h.seq == seq+1 && h.length == 0) {
			return true
		}
		data = data[1:]
	}
}

// scan calls visit for each frame of a file. It returns the length of the whole
// frames; anything behind that is a torn save. Damage to a frame that was
// durable gives *DamageError.
func scan(file string, data []byte, visit func(seq uint64, payload []byte) error) (int64, error) {
	offset := 0
	for seq := uint64(1); offset < len(data); seq++ {
		h, payload, reason, ok := readFrame(data[offset:])
		if !ok {
			// The first frame was synced before the file got its name.
			if seq == 1 || laterFrame(data[offset+1:], seq) {
				return 0, &DamageError{File: file, Offset: int64(offset), Reason: reason}
			}
			return int64(offset), nil
		}
		if h.seq != seq {
			return 0, &DamageError{File: file, Offset: int64(offset), Reason: DamageSequence}
		}
		if err := visit(seq, payload); err != nil {
			if _, ok := err.(*VersionError); ok {
				return 0, err
			}
			return 0, &DamageError{File: file, Offset: int64(offset), Reason: DamageContent}
		}
		offset += headerBytes + len(payload)
	}
	if offset == 0 {
		return 0, &DamageError{File: file, Reason: DamageTruncated}
	}
	return int64(offset), nil
}
