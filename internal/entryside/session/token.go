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

// Bounds and sizes of a token.
const (
	// MaxTokenLength bounds a token's text, in bytes. It holds MaxGroups floors
	// with names of MaxNameLength bytes.
	MaxTokenLength = 8 << 10
	// MinSecretLength is the least length of a signing secret, in bytes.
	MinSecretLength = 16

	tokenVersion  = 1
	macLength     = 16
	keyIDOffset   = 1
	sumOffset     = 2
	macOffset     = sumOffset + crc32.Size
	payloadOffset = macOffset + macLength
)

var (
	tokenText  = base64.RawURLEncoding.Strict()
	tokenTable = crc32.MakeTable(crc32.Castagnoli)
)

// Token is the content of a session token.
type Token struct {
	ID       ID
	Complete bool
	Floors   Floors
}

// Key is one signing key from the settings.
type Key struct {
	// ID names the key in tokens, so that keys can be exchanged while tokens
	// are in use.
	ID     uint8
	Secret []byte
}

// Keys signs tokens with its first key and accepts tokens of all its keys.
type Keys struct{ keys []Key }

// NewKeys checks the keys: the first one signs. Short secrets, equal ids or no
// key at all give *KeyError.
func NewKeys(sign Key, accept ...Key) (*Keys, error) {
	k := &Keys{}
	for _, key := range append([]Key{sign}, accept...) {
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

// Encode returns the token's text: base64url of version, key id, checksum,
// signature and payload. Equal tokens give equal text.
func (k *Keys) Encode(t Token) (string, error) {
	payload := &sessionpb.TokenPayload{
		SessionId: string(t.ID),
		Complete:  t.Complete,
		Floors:    FloorsToProto(t.Floors),
	}
	body, err := proto.MarshalOptions{Deterministic: true}.Marshal(payload)
	if err != nil || tokenText.EncodedLen(payloadOffset+len(body)) > MaxTokenLength {
		return "", &TokenError{Fault: TokenContent}
	}
	frame := make([]byte, payloadOffset, payloadOffset+len(body))
	frame[0] = tokenVersion
	frame[keyIDOffset] = k.keys[0].ID
	frame = append(frame, body...)
	copy(frame[macOffset:], sign(k.keys[0], frame))
	binary.BigEndian.PutUint32(frame[sumOffset:], checksum(frame))
	return tokenText.EncodeToString(frame), nil
}

// Decode reads a token's text. Text that is not a token of this system gives
// *TokenError with the fault.
func (k *Keys) Decode(text string) (Token, error) {
	if len(text) > MaxTokenLength {
		return Token{}, &TokenError{Fault: TokenTooLong}
	}
	frame, err := tokenText.DecodeString(text)
	if err != nil || len(frame) < payloadOffset {
		return Token{}, &TokenError{Fault: TokenNotEncoded}
	}
	if err := k.verify(frame); err != nil {
		return Token{}, err
	}
	return decodePayload(frame[payloadOffset:])
}

// verify checks the checksum before the signature, so that damage on the way is
// told apart from a token that was made elsewhere.
func (k *Keys) verify(frame []byte) error {
	if frame[0] != tokenVersion {
		return &TokenError{Fault: TokenVersion}
	}
	if binary.BigEndian.Uint32(frame[sumOffset:]) != checksum(frame) {
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
	mac.Write(frame[:sumOffset])
	mac.Write(frame[payloadOffset:])
	return mac.Sum(nil)[:macLength]
}

func checksum(frame []byte) uint32 {
	sum := crc32.Checksum(frame[:sumOffset], tokenTable)
	return crc32.Update(sum, tokenTable, frame[macOffset:])
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

// FloorsToProto returns the wire form of floors.
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

// FloorsFromProto reads the wire form. Names that are empty or too long, or too
// many groups, give a typed error.
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
