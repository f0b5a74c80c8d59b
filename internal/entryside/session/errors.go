package session

import "fmt"

// IDError reports text that is not a session id.
type IDError struct {
	// Length is the length of the text in bytes.
	Length int
	// Offset is the first byte that is not allowed; -1 when the length is the
	// fault.
	Offset int
}

func (e *IDError) Error() string {
	if e.Offset < 0 {
		return fmt.Sprintf("session id has %d bytes; allowed are 1 to %d", e.Length, MaxIDLength)
	}
	return fmt.Sprintf("session id has a byte at offset %d that is not a letter, digit, '.', '_' or '-'", e.Offset)
}

// TokenFault says what is wrong with a token.
type TokenFault uint8

// Faults of a token.
const (
	// TokenTooLong is a token above MaxTokenLength.
	TokenTooLong TokenFault = iota + 1
	// TokenNotEncoded is text that is not base64url of a token's frame.
	TokenNotEncoded
	// TokenVersion is a token of a version that this daemon does not know.
	TokenVersion
	// TokenDamaged is a token whose checksum does not match.
	TokenDamaged
	// TokenUnknownKey is a token signed with a key that is not in the settings.
	TokenUnknownKey
	// TokenNotAuthentic is a token whose signature does not match.
	TokenNotAuthentic
	// TokenContent is an authentic token whose content is out of bounds.
	TokenContent
)

// String describes the fault.
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

// TokenError reports a token that was refused. The token itself is not part of
// the error, so that it does not reach logs.
type TokenError struct{ Fault TokenFault }

func (e *TokenError) Error() string { return "session token is " + e.Fault.String() }

// KeyError reports signing keys that cannot be used.
type KeyError struct {
	// KeyID is the id of the key at fault.
	KeyID uint8
	// Length is the length of its secret in bytes.
	Length int
	// Duplicate says that another key has the same id.
	Duplicate bool
}

func (e *KeyError) Error() string {
	if e.Duplicate {
		return fmt.Sprintf("token key id %d is configured twice", e.KeyID)
	}
	return fmt.Sprintf("token key %d has %d bytes; needed are at least %d", e.KeyID, e.Length, MinSecretLength)
}

// MismatchError reports a token that belongs to another session than the id
// that came with it.
type MismatchError struct{ Named, InToken ID }

func (e *MismatchError) Error() string {
	return fmt.Sprintf("session token is of session %q, not of %q", e.InToken, e.Named)
}

// GroupLimitError reports a session that writes to more groups than its state
// may hold.
type GroupLimitError struct{ Group string }

func (e *GroupLimitError) Error() string {
	return fmt.Sprintf("session already has floors in %d groups; group %q is one too many", MaxGroups, e.Group)
}

// NameError reports a floor whose names are out of bounds.
type NameError struct{ GroupLength, SlotLength int }

func (e *NameError) Error() string {
	return fmt.Sprintf("floor has a group name of %d and a slot name of %d bytes; allowed are 1 to %d and 0 to %d",
		e.GroupLength, e.SlotLength, MaxNameLength, MaxNameLength)
}
