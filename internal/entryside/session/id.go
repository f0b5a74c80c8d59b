package session

// MaxIDLength is the maximum length of a session id, in bytes.
const MaxIDLength = 64

// ID identifies a session on all daemons. The zero ID means that the caller set
// no session id.
type ID string

// ParseID validates a session id sent by a caller. An id has 1 to MaxIDLength
// ASCII letters, digits, '.', '_' or '-'. For other text it returns *IDError.
func ParseID(text string) (ID, error) {
	if len(text) == 0 || len(text) > MaxIDLength {
		return "", &IDError{Length: len(text), Offset: -1}
	}
	for i := range len(text) {
		if !isIDByte(text[i]) {
			return "", &IDError{Length: len(text), Offset: i}
		}
	}
	return ID(text), nil
}

func isIDByte(b byte) bool {
	switch {
	case b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z', b >= '0' && b <= '9':
		return true
	}
	return b == '.' || b == '_' || b == '-'
}
