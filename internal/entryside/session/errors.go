package session

import "fmt"

// IDError reports text that is not a valid session id.
type IDError struct {
	// Length is the length of the text in bytes.
	Length int
	// Offset is the position of the first byte that is not allowed, or -1 if the
	// length is invalid.
	Offset int
}

func (e *IDError) Error() string {
	if e.Offset < 0 {
		return fmt.Sprintf("session id has %d bytes; allowed are 1 to %d", e.Length, MaxIDLength)
	}
	return fmt.Sprintf("session id has a byte at offset %d that is not a letter, digit, '.', '_' or '-'", e.Offset)
}

// TokenFault is the reason why a token was refused.
type TokenFault uint8

// Reasons why a token is refused.
const (
	// TokenTooLong means that the token is longer than MaxTokenLength.
	TokenTooLong TokenFault = iota + 1
	// TokenNotEncoded means that the text is not base64url or is too short for a
	// token.
	TokenNotEncoded
	// TokenVersion means that this daemon does not know the token's version.
	TokenVersion
	// TokenDamaged means that the checksum does not match.
	TokenDamaged
	// TokenUnknownKey means that the token is signed with a key that is not in
	// the settings.
	TokenUnknownKey
	// TokenNotAuthentic means that the signature does not match.
	TokenNotAuthentic
	// TokenContent means that the token is authentic, but its content exceeds
	// the limits.
	TokenContent
)

// String describes the reason in words for the caller.
func (f TokenFault) String() string {
	switch f {
	case TokenTooLong:
		return "longer than allowed"
	case TokenNotEncoded:
		return "not in the encoding of a token"
	case TokenVersion:
		return "of an unknown version"
	case TokenDamaged:
		return "damaged: the checksum does not match"
	case TokenUnknownKey:
		return "signed with a key that is not configured here"
	case TokenNotAuthentic:
		return "not issued by this system: the signature does not match"
	case TokenContent:
		return "authentic, but its content is out of bounds"
	}
	return "invalid"
}

// TokenError reports a token that was refused. The error does not contain the
// token, so that tokens do not appear in logs.
type TokenError struct{ Fault TokenFault }

func (e *TokenError) Error() string { return "session token is " + e.Fault.String() }

// KeyError reports signing keys that cannot be used.
type KeyError struct {
	// KeyID is the id of the key that cannot be used.
	KeyID uint8
	// Length is the length of the key's secret in bytes.
	Length int
	// Duplicate states that another key has the same id.
	Duplicate bool
}

func (e *KeyError) Error() string {
	if e.Duplicate {
		return fmt.Sprintf("token key id %d is configured twice", e.KeyID)
	}
	return fmt.Sprintf("token key %d has %d bytes; needed are at least %d", e.KeyID, e.Length, MinSecretLength)
}

// MismatchError reports a token whose session id differs from the id that the
// caller sent with it.
type MismatchError struct{ SessionID, TokenID ID }

func (e *MismatchError) Error() string {
	return fmt.Sprintf("session token is of session %q, not of %q", e.TokenID, e.SessionID)
}

// GroupLimitError reports a session that would have floors in more than MaxGroups
// groups. Group is the group that was not added.
type GroupLimitError struct{ Group string }

func (e *GroupLimitError) Error() string {
	return fmt.Sprintf("session already has floors in %d groups; group %q is one too many", MaxGroups, e.Group)
}

// NameError reports a floor with a group or slot name of invalid length. The
// lengths are in bytes.
type NameError struct{ GroupLength, SlotLength int }

func (e *NameError) Error() string {
	return fmt.Sprintf("floor has a group name of %d and a slot name of %d bytes; allowed are 1 to %d and 0 to %d",
		e.GroupLength, e.SlotLength, MaxNameLength, MaxNameLength)
}
