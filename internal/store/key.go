package store

import (
	"fmt"
	"strings"
)

// escape starts the hexadecimal form of a byte in a key. It needs no escaping in URLs, so proxies and path cleaning leave it
// alone, which does not hold for a percent sign.
const escape = '~'

const hexDigits = "0123456789ABCDEF"

// KeyError reports a key that Key did not make.
type KeyError struct{ Key string }

// Error names the key.
func (e *KeyError) Error() string { return fmt.Sprintf("key %q is not made of escaped parts", e.Key) }

// Key joins parts to a key such as "/claim/harbour/42". Each part may hold any text: bytes other than letters, digits, '-',
// '_' and '.' are escaped, as are an empty part and a leading dot, so that different parts never give the same key.
func Key(parts ...string) string {
	var b strings.Builder
	for _, part := range parts {
		b.WriteByte('/')
		writePart(&b, part)
	}
	return b.String()
}

// Prefix returns the prefix of all keys below parts; it does not match keys whose last part only starts like the last of parts.
func Prefix(parts ...string) string { return Key(parts...) + "/" }

// Parts splits a key that Key made; it returns KeyError for any other.
func Parts(key string) ([]string, error) {
	rest, found := strings.CutPrefix(key, "/")
	if !found {
		return nil, &KeyError{Key: key}
	}
	parts := strings.Split(rest, "/")
	for i, part := range parts {
		plain, ok := readPart(part)
		if !ok {
			return nil, &KeyError{Key: key}
		}
		parts[i] = plain
	}
	return parts, nil
}

func writePart(b *strings.Builder, part string) {
	if part == "" {
		b.WriteByte(escape)
		return
	}
	for i := range len(part) {
		c := part[i]
		if safe(c) && (i > 0 || c != '.') {
			b.WriteByte(c)
			continue
		}
		b.WriteByte(escape)
		b.WriteByte(hexDigits[c>>4])
		b.WriteByte(hexDigits[c&15])
	}
}

func readPart(part string) (string, bool) {
	if part == string(escape) {
		return "", true
	}
	var b strings.Builder
	for i := 0; i < len(part); i++ {
		if part[i] != escape {
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
	var again strings.Builder
	writePart(&again, b.String())
	return b.String(), again.String() == part
}

func safe(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_' || c == '.'
}
