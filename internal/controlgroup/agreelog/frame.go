package agreelog

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"google.golang.org/protobuf/proto"
)

// A file is a sequence of frames. A frame consists of a header and a payload:
//
//	4 bytes  magic
//	4 bytes  length of the payload
//	8 bytes  sequence number of the frame in the file, from 1
//	4 bytes  CRC-32C of the payload
//	4 bytes  CRC-32C of the 20 bytes above
//
// Numbers are big-endian. Each save writes exactly one frame, which makes a save
// atomic.
const (
	headerBytes = 24
	frameMagic  = "HMAL"
	// MaxFrameBytes is the maximum payload size of one frame.
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

// encodeRecord returns a record's payload, or *SizeError.
func encodeRecord(file string, record proto.Message) ([]byte, error) {
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

// readFrame returns the header and payload of the frame at the start of data. If
// the frame is incomplete or damaged, ok is false and reason says why.
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

// laterFrameProvesDurable reports whether data holds a complete frame that proves
// that the frame with number seq was durable. Saves are synced one after the
// other, so any later save or seal proves it, with one exception: a seal becomes
// durable only with the save after it. A crash may leave that unacknowledged save
// complete on disk without the seal, so a save with number seq+1 proves nothing.
func laterFrameProvesDurable(data []byte, seq uint64) bool {
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

// scanFrames calls visit for each frame of a file. It returns the total length of
// the complete frames in bytes; any bytes after them are a torn save. It returns
// *DamageError for damage to a durable frame.
func scanFrames(file string, data []byte, visit func(seq uint64, payload []byte) error) (int64, error) {
	offset := 0
	for seq := uint64(1); offset < len(data); seq++ {
		h, payload, reason, ok := readFrame(data[offset:])
		if !ok {
			// The first frame was durable before the file was renamed to its
			// final name.
			if seq == 1 || laterFrameProvesDurable(data[offset+1:], seq) {
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
