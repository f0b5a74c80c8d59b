package session

// MaxIDLength bounds a session id, in bytes.
const MaxIDLength = 64

// ID names a session across daemons. The zero ID means that the caller has not
// named its session.
type ID string

// ParseID checks text that a caller sent as its session id: 1 to MaxIDLength
// ASCII letters, digits, '.', '_' or '-'. Other text gives *IDError.
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
