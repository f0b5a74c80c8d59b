package session

import (
	"encoding/base64"
	"errors"
	"flag"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hemlockmast/internal/shared/logpos"
)

// A fixed seed makes every run give the same result. -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "20261204") }

func testKeys(t testing.TB, id uint8, secret string) *Keys {
	keys, err := NewKeys(Key{ID: id, Secret: []byte(secret)})
	assert.NilError(t, err)
	return keys
}

const testSecret = "0123456789abcdef"

func sampleToken(t testing.TB) Token {
	s := New("keeper-1")
	assert.NilError(t, s.Raise("north", logpos.Pos{Term: 2, Index: 7}, "b"))
	assert.NilError(t, s.Settle("south", logpos.Pos{Term: 1, Index: 1 << 40}))
	return s.Token()
}

func TestTokenRefusals(t *testing.T) {
	keys := testKeys(t, 1, testSecret)
	good, err := keys.Encode(sampleToken(t))
	assert.NilError(t, err)
	got, err := keys.Decode(good)
	assert.NilError(t, err)
	assert.DeepEqual(t, got.Floors.List(), sampleToken(t).Floors.List())

	flip := func(offset int) string {
		frame, _ := base64.RawURLEncoding.DecodeString(good)
		frame[offset] ^= 0x40
		return base64.RawURLEncoding.EncodeToString(frame)
	}
	foreign, _ := testKeys(t, 1, "another secret 16").Encode(sampleToken(t))
	otherKey, _ := testKeys(t, 9, testSecret).Encode(sampleToken(t))
	badID, _ := keys.Encode(Token{ID: "spaces are refused"})
	for _, tc := range []struct {
		name, text string
		want       TokenFault
	}{
		{"empty", "", TokenNotEncoded},
		{"arbitrary text", "let me in", TokenNotEncoded},
		{"truncated in the header", good[:20], TokenNotEncoded},
		{"truncated at the end", good[:len(good)-4], TokenDamaged},
		{"version changed", flip(0), TokenVersion},
		{"key id changed", flip(keyIDOffset), TokenDamaged},
		{"checksum changed", flip(checksumOffset), TokenDamaged},
		{"signature changed", flip(macOffset), TokenDamaged},
		{"payload changed", flip(payloadOffset + 3), TokenDamaged},
		{"signed with another secret", foreign, TokenNotAuthentic},
		{"signed with an unknown key", otherKey, TokenUnknownKey},
		{"invalid session id", badID, TokenContent},
		{"too long", strings.Repeat("A", MaxTokenLength+1), TokenTooLong},
	} {
		_, err := keys.Decode(tc.text)
		var fault *TokenError
		assert.Assert(t, errors.As(err, &fault), tc.name)
		assert.Equal(t, fault.Fault, tc.want, tc.name)
	}
}

func TestTokenOfPreviousKeyIsAccepted(t *testing.T) {
	old, err := testKeys(t, 1, testSecret).Encode(sampleToken(t))
	assert.NilError(t, err)
	keys, err := NewKeys(Key{2, []byte("the new secret 16")}, Key{1, []byte(testSecret)})
	assert.NilError(t, err)
	_, err = keys.Decode(old)
	assert.NilError(t, err)
	for _, bad := range [][]Key{{{1, nil}}, {{1, []byte(testSecret)}, {1, []byte(testSecret)}}} {
		_, err = NewKeys(bad[0], bad[1:]...)
		var keyErr *KeyError
		assert.Assert(t, errors.As(err, &keyErr))
	}
}

func TestFullStateFitsInAToken(t *testing.T) {
	s := New(ID(strings.Repeat("i", MaxIDLength)))
	name := strings.Repeat("n", MaxNameLength-1)
	for i := range MaxGroups {
		group := name + string(rune('A'+i))
		assert.NilError(t, s.Raise(group, logpos.Pos{Term: 1 << 63, Index: 1 << 63}, name))
	}
	var limit *GroupLimitError
	assert.Assert(t, errors.As(s.Raise("more", logpos.Pos{Term: 1, Index: 1}, ""), &limit))
	assert.Assert(t, !s.Floor("more").Settled, "the floor of a group that is not kept is unknown")
	text, err := testKeys(t, 1, testSecret).Encode(s.Token())
	assert.NilError(t, err)
	_, err = testKeys(t, 1, testSecret).Decode(text)
	assert.NilError(t, err)
}

// A resumed session must never be treated as one without writes.
func TestUnknownFloorIsNotZero(t *testing.T) {
	s := Resume("keeper-1")
	assert.Assert(t, !s.Floor("north").Settled)
	assert.NilError(t, s.AddToken(sampleToken(t)))
	assert.Assert(t, !s.Floor("north").Settled, "a token sent with an id gives only a lower bound")
	assert.Equal(t, s.Floor("north").Pos, logpos.Pos{Term: 2, Index: 7})
	encoded, err := testKeys(t, 1, testSecret).Encode(s.Token())
	assert.NilError(t, err)
	token, err := testKeys(t, 1, testSecret).Decode(encoded)
	assert.NilError(t, err)
	assert.Assert(t, !FromToken(token).Floor("west").Settled, "the token of an incomplete state is incomplete")
	assert.NilError(t, s.Settle("north", logpos.Pos{Term: 3, Index: 1}))
	assert.Assert(t, s.Floor("north").Settled)
	assert.Assert(t, !s.Floor("west").Settled)

	var mismatch *MismatchError
	assert.Assert(t, errors.As(Resume("other").AddToken(sampleToken(t)), &mismatch))
	for _, bad := range []string{"", "a b", "\x00", strings.Repeat("x", MaxIDLength+1)} {
		_, err := ParseID(bad)
		var idErr *IDError
		assert.Assert(t, errors.As(err, &idErr), bad)
	}
}

func TestFloorsNeverGoDown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New("p")
		groups := []string{"a", "b", "c"}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			group := rapid.SampledFrom(groups).Draw(t, "group")
			pos := logpos.Pos{
				Term:  rapid.Uint64Range(0, 3).Draw(t, "term"),
				Index: rapid.Uint64Range(0, 5).Draw(t, "index"),
			}
			before := s.Floor(group).Pos
			if err := s.Raise(group, pos, "s"); err != nil {
				t.Fatal(err)
			}
			after := s.Floor(group).Pos
			if after.Less(before) || after.Less(pos) {
				t.Fatalf("floor %v after %v and %v", after, before, pos)
			}
		}
	})
}

func FuzzDecodeToken(f *testing.F) {
	keys := testKeys(f, 1, testSecret)
	good, err := keys.Encode(sampleToken(f))
	assert.NilError(f, err)
	f.Add(good)
	f.Add("")
	f.Add(good[:30])
	f.Add(strings.Repeat("A", 64))
	f.Fuzz(func(t *testing.T, text string) {
		token, err := keys.Decode(text)
		if err != nil {
			var fault *TokenError
			assert.Assert(t, errors.As(err, &fault))
			return
		}
		again, err := keys.Encode(token)
		assert.NilError(t, err)
		assert.Equal(t, again, text)
	})
}

// FuzzDecodePayload decodes a payload without the signature, which a fuzzer could
// not produce.
func FuzzDecodePayload(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte("\n\x02ab\x10\x01\x1a\x05\n\x01g\x10\x03"))
	f.Fuzz(func(t *testing.T, body []byte) {
		token, err := decodePayload(body)
		if err == nil && token.Floors.Len() > MaxGroups {
			t.Fatal("too many groups")
		}
	})
}
