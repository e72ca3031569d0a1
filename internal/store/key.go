package store

import (
	"fmt"
	"strings"
)

// escapeByte precedes the two hexadecimal digits of an escaped byte in a key. It needs no escaping in URLs, so proxies and path
// cleaning leave it unchanged, unlike a percent sign.
const escapeByte = '~'

const hexDigits = "0123456789ABCDEF"

// KeyError reports a key that Key cannot have returned.
type KeyError struct{ Key string }

// Error names the key.
func (e *KeyError) Error() string { return fmt.Sprintf("key %q is not made of escaped parts", e.Key) }

// Key joins parts to a key such as "/claim/harbour/42". Each part may be any text: bytes other than ASCII letters, digits, '-', '_'
// and '.' are escaped, as are an empty part and a leading dot, so that different parts never give the same key.
func Key(parts ...string) string {
	var b strings.Builder
	for _, part := range parts {
		b.WriteByte('/')
		escapePart(&b, part)
	}
	return b.String()
}

// Prefix returns the common prefix of all keys below parts. The trailing slash excludes keys in which the last of parts is only the
// start of a longer part.
func Prefix(parts ...string) string { return Key(parts...) + "/" }

// Parts returns the parts from which Key made a key; it returns KeyError for any other text.
func Parts(key string) ([]string, error) {
	rest, found := strings.CutPrefix(key, "/")
	if !found {
		return nil, &KeyError{Key: key}
	}
	parts := strings.Split(rest, "/")
	for i, part := range parts {
		unescaped, ok := unescapePart(part)
		if !ok {
			return nil, &KeyError{Key: key}
		}
		parts[i] = unescaped
	}
	return parts, nil
}

// escapePart appends one part in its escaped form.
func escapePart(b *strings.Builder, part string) {
	if part == "" {
		b.WriteByte(escapeByte)
		return
	}
	for i := range len(part) {
		c := part[i]
		if isSafe(c) && (i > 0 || c != '.') {
			b.WriteByte(c)
			continue
		}
		b.WriteByte(escapeByte)
		b.WriteByte(hexDigits[c>>4])
		b.WriteByte(hexDigits[c&15])
	}
}

// unescapePart reverses escapePart; it reports false for text that escapePart does not produce.
func unescapePart(part string) (string, bool) {
	if part == string(escapeByte) {
		return "", true
	}
	var b strings.Builder
	for i := 0; i < len(part); i++ {
		if part[i] != escapeByte {
			b.WriteByte(part[i])
			continue
		}
		if i+2 >= len(part) {
			return "", false
		}
		high, low := strings.IndexByte(hexDigits, part[i+1]), strings.IndexByte(hexDigits, part[i+2])
		if high < 0 || low < 0 {
			return "", false
		}
		b.WriteByte(byte(high<<4 | low))
		i += 2
	}
	var escapedAgain strings.Builder
	escapePart(&escapedAgain, b.String())
	return b.String(), escapedAgain.String() == part
}

// isSafe reports whether a byte stays as it is in a key.
func isSafe(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_' || c == '.'
}
