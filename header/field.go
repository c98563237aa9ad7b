package header

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
)

// ErrMalformedField reports a header line that is no field by RFC 9110, section 5.
var ErrMalformedField = errors.New("malformed header field")

// ParseField splits a header line without its line end into the field's name and its trimmed
// value. Its errors wrap ErrMalformedField.
func ParseField(line []byte) (name, value []byte, err error) {
	colon := bytes.IndexByte(line, ':')
	if colon <= 0 {
		return nil, nil, fmt.Errorf("%w: header line has no name", ErrMalformedField)
	}
	name, value = line[:colon], bytes.Trim(line[colon+1:], " \t")
	if !IsName(string(name)) {
		return nil, nil, fmt.Errorf("%w: invalid byte in header name %q", ErrMalformedField, name)
	}
	if !IsValue(string(value)) {
		return nil, nil, fmt.Errorf("%w: control character in header %q", ErrMalformedField, name)
	}
	return name, value, nil
}

// IsName reports whether text is a token (RFC 9110, section 5.6.2), as a field's name must be.
func IsName(text string) bool {
	for i := range len(text) {
		if !isToken(text[i]) {
			return false
		}
	}
	return text != ""
}

// IsValue reports whether text has no control character but the tab, as a field's value must.
func IsValue(text string) bool {
	for i := range len(text) {
		if c := text[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

func isToken(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' ||
		strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}
