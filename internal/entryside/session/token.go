package session

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"hash/crc32"

	"google.golang.org/protobuf/proto"

	sessionpb "hemlockmast/api/session"
	"hemlockmast/internal/shared/logpos"
)

// Limits and layout of a token. The offsets and lengths are in bytes.
const (
	// MaxTokenLength is the maximum length of a token's text, in bytes. It is
	// enough for MaxGroups floors with names of MaxNameLength bytes.
	MaxTokenLength = 8 << 10
	// MinSecretLength is the minimum length of a signing secret, in bytes.
	MinSecretLength = 16

	tokenVersion   = 1
	macLength      = 16
	keyIDOffset    = 1
	checksumOffset = 2
	macOffset      = checksumOffset + crc32.Size
	payloadOffset  = macOffset + macLength
)

var (
	tokenEncoding = base64.RawURLEncoding.Strict()
	checksumTable = crc32.MakeTable(crc32.Castagnoli)
)

// Token is the content of a session token. See State for the meaning of the
// fields.
type Token struct {
	ID       ID
	Complete bool
	Floors   Floors
}

// Key is a signing key from the settings.
type Key struct {
	// ID identifies the key in tokens, so that keys can be rotated while tokens
	// are in use.
	ID     uint8
	Secret []byte
}

// Keys signs tokens with its first key and accepts tokens signed with any of its
// keys.
type Keys struct{ keys []Key }

// NewKeys returns Keys that sign with signingKey and also accept tokens signed
// with otherKeys. It returns *KeyError for a secret that is too short and for
// duplicate key ids.
func NewKeys(signingKey Key, otherKeys ...Key) (*Keys, error) {
	k := &Keys{}
	for _, key := range append([]Key{signingKey}, otherKeys...) {
		if len(key.Secret) < MinSecretLength {
			return nil, &KeyError{KeyID: key.ID, Length: len(key.Secret)}
		}
		if _, ok := k.find(key.ID); ok {
			return nil, &KeyError{KeyID: key.ID, Length: len(key.Secret), Duplicate: true}
		}
		k.keys = append(k.keys, key)
	}
	return k, nil
}

func (k *Keys) find(id uint8) (Key, bool) {
	for _, key := range k.keys {
		if key.ID == id {
			return key, true
		}
	}
	return Key{}, false
}

// Encode returns the token's text: the base64url encoding of version, key id,
// checksum, signature and payload. Equal tokens have equal text. A token that
// would exceed MaxTokenLength gives *TokenError.
func (k *Keys) Encode(t Token) (string, error) {
	payload := &sessionpb.TokenPayload{
		SessionId: string(t.ID),
		Complete:  t.Complete,
		Floors:    FloorsToProto(t.Floors),
	}
	body, err := proto.MarshalOptions{Deterministic: true}.Marshal(payload)
	if err != nil || tokenEncoding.EncodedLen(payloadOffset+len(body)) > MaxTokenLength {
		return "", &TokenError{Fault: TokenContent}
	}
	frame := make([]byte, payloadOffset, payloadOffset+len(body))
	frame[0] = tokenVersion
	frame[keyIDOffset] = k.keys[0].ID
	frame = append(frame, body...)
	copy(frame[macOffset:], sign(k.keys[0], frame))
	binary.BigEndian.PutUint32(frame[checksumOffset:], checksum(frame))
	return tokenEncoding.EncodeToString(frame), nil
}

// Decode decodes a token's text. It returns *TokenError if the text is not a
// valid token of this system.
func (k *Keys) Decode(text string) (Token, error) {
	if len(text) > MaxTokenLength {
		return Token{}, &TokenError{Fault: TokenTooLong}
	}
	frame, err := tokenEncoding.DecodeString(text)
	if err != nil || len(frame) < payloadOffset {
		return Token{}, &TokenError{Fault: TokenNotEncoded}
	}
	if err := k.verify(frame); err != nil {
		return Token{}, err
	}
	return decodePayload(frame[payloadOffset:])
}

// verify verifies the checksum before the signature. This distinguishes a token
// that was damaged in transit from one that another system issued.
func (k *Keys) verify(frame []byte) error {
	if frame[0] != tokenVersion {
		return &TokenError{Fault: TokenVersion}
	}
	if binary.BigEndian.Uint32(frame[checksumOffset:]) != checksum(frame) {
		return &TokenError{Fault: TokenDamaged}
	}
	key, ok := k.find(frame[keyIDOffset])
	if !ok {
		return &TokenError{Fault: TokenUnknownKey}
	}
	if !hmac.Equal(frame[macOffset:payloadOffset], sign(key, frame)) {
		return &TokenError{Fault: TokenNotAuthentic}
	}
	return nil
}

func sign(key Key, frame []byte) []byte {
	mac := hmac.New(sha256.New, key.Secret)
	mac.Write(frame[:checksumOffset])
	mac.Write(frame[payloadOffset:])
	return mac.Sum(nil)[:macLength]
}

func checksum(frame []byte) uint32 {
	sum := crc32.Checksum(frame[:checksumOffset], checksumTable)
	return crc32.Update(sum, checksumTable, frame[macOffset:])
}

func decodePayload(body []byte) (Token, error) {
	var payload sessionpb.TokenPayload
	if err := proto.Unmarshal(body, &payload); err != nil {
		return Token{}, &TokenError{Fault: TokenContent}
	}
	if payload.SessionId != "" {
		if _, err := ParseID(payload.SessionId); err != nil {
			return Token{}, &TokenError{Fault: TokenContent}
		}
	}
	floors, err := FloorsFromProto(payload.Floors)
	if err != nil {
		return Token{}, &TokenError{Fault: TokenContent}
	}
	return Token{ID: ID(payload.SessionId), Complete: payload.Complete, Floors: floors}, nil
}

// FloorsToProto converts floors to their wire form.
func FloorsToProto(floors Floors) []*sessionpb.GroupFloor {
	out := make([]*sessionpb.GroupFloor, 0, floors.Len())
	for _, g := range floors.list {
		out = append(out, &sessionpb.GroupFloor{
			Group:   g.Group,
			Term:    g.Pos.Term,
			Index:   g.Pos.Index,
			Slot:    g.Slot,
			Settled: g.Settled,
			Wrote:   g.Wrote,
		})
	}
	return out
}

// FloorsFromProto converts floors from their wire form. It returns *NameError for
// a group name that is empty or a name that is too long, and *GroupLimitError
// for too many groups.
func FloorsFromProto(list []*sessionpb.GroupFloor) (Floors, error) {
	var floors Floors
	for _, g := range list {
		if len(g.Group) == 0 || len(g.Group) > MaxNameLength || len(g.Slot) > MaxNameLength {
			return Floors{}, &NameError{GroupLength: len(g.Group), SlotLength: len(g.Slot)}
		}
		floor := GroupFloor{
			Group:   g.Group,
			Pos:     logpos.Pos{Term: g.Term, Index: g.Index},
			Slot:    g.Slot,
			Settled: g.Settled,
			Wrote:   g.Wrote,
		}
		if err := floors.Merge(floor); err != nil {
			return Floors{}, err
		}
	}
	return floors, nil
}
