package framing

import (
	"bytes"
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"berylpass/header"
)

const (
	// maxFields is the maximum number of header fields of a request.
	maxFields = 256
	// maxLengthDigits is the maximum number of digits of a Content-Length; 18 digits fit an int64.
	maxLengthDigits = 18
)

// methods is the set of accepted methods.
var methods = map[string]bool{
	"GET": true, "HEAD": true, "POST": true, "PUT": true, "PATCH": true, "DELETE": true, "OPTIONS": true,
}

// singletonFields is the set of header fields, in lower case, that may occur only once.
var singletonFields = map[string]bool{
	"host": true, "content-length": true, "transfer-encoding": true, "expect": true,
	"authorization": true, "x-api-key": true,
}

// head is the head of a request that has passed all checks.
type head struct {
	// normalized is the head as it is passed on.
	normalized      []byte
	length          int64
	expectsContinue bool
	http10          bool
	// singletons holds the values of the singletonFields that are present.
	singletons map[string]string
	// authority is the host of a target in absolute form; it takes precedence over the Host field.
	authority string
}

// parseHead parses and checks a head that ends with an empty line. One empty line
// before the head is dropped, because old clients send one after a body.
func parseHead(raw []byte) (head, error) {
	raw = bytes.TrimPrefix(raw, lineEnd)
	lines := bytes.Split(bytes.TrimSuffix(raw, headEnd), lineEnd)
	h := head{normalized: make([]byte, 0, len(raw)+len("Transfer-Encoding: chunked\r\n")), singletons: map[string]string{}}
	if err := h.requestLine(lines[0]); err != nil {
		return head{}, err
	}
	if len(lines)-1 > maxFields {
		return head{}, ErrHeaderTooLarge
	}
	for _, line := range lines[1:] {
		if err := h.field(line); err != nil {
			return head{}, err
		}
	}
	if err := h.checkHost(); err != nil {
		return head{}, err
	}
	if err := h.checkLength(); err != nil {
		return head{}, err
	}
	if err := h.checkExpect(); err != nil {
		return head{}, err
	}
	if h.length != 0 {
		h.normalized = append(h.normalized, "Transfer-Encoding: chunked\r\n"...)
	}
	h.normalized = append(h.normalized, lineEnd...)
	return h, nil
}

func (h *head) requestLine(line []byte) error {
	parts := strings.Split(string(line), " ")
	if len(parts) != 3 {
		return fmt.Errorf("%w: request line must be method, target and version", ErrMalformed)
	}
	method, target, version := parts[0], parts[1], parts[2]
	if !methods[method] {
		return fmt.Errorf("%w: request method is not supported", ErrMalformed)
	}
	if version != "HTTP/1.1" && version != "HTTP/1.0" {
		return fmt.Errorf("%w: version must be HTTP/1.1 or HTTP/1.0", ErrMalformed)
	}
	target, err := h.originForm(target)
	if err != nil {
		return err
	}
	if !isTarget(method, target) {
		return fmt.Errorf("%w: request target must be a path", ErrMalformed)
	}
	h.http10 = version == "HTTP/1.0"
	h.normalized = append(h.normalized, method+" "+target+" "+version+"\r\n"...)
	return nil
}

// originForm returns the path and query of a target. For a target in absolute form
// (RFC 9112, section 3.2.2) it also sets the authority.
func (h *head) originForm(target string) (string, error) {
	scheme, rest, absolute := strings.Cut(target, "://")
	if !absolute || !strings.EqualFold(scheme, "http") && !strings.EqualFold(scheme, "https") {
		return target, nil
	}
	end := strings.IndexAny(rest, "/?")
	if end < 0 {
		end = len(rest)
	}
	authority, path := rest[:end], rest[end:]
	if !isHost(authority) || authority == "" {
		return "", fmt.Errorf("%w: request target has no valid host", ErrMalformed)
	}
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	h.authority = authority
	return path, nil
}

func isTarget(method, target string) bool {
	if target == "*" {
		return method == "OPTIONS"
	}
	if !strings.HasPrefix(target, "/") || strings.Contains(target, "#") {
		return false
	}
	for i := range len(target) {
		if target[i] <= ' ' || target[i] == 0x7f {
			return false
		}
	}
	_, err := url.ParseRequestURI(target)
	return err == nil
}

// field checks a header line and appends it to the normalized head, unless it
// concerns the framing of the body.
func (h *head) field(line []byte) error {
	name, value, err := parseField(line)
	if err != nil {
		return err
	}
	lower := strings.ToLower(string(name))
	if singletonFields[lower] {
		if _, repeated := h.singletons[lower]; repeated {
			return fmt.Errorf("%w: header %s is repeated", ErrMalformed, lower)
		}
		h.singletons[lower] = string(value)
	}
	switch lower {
	case "content-length", "transfer-encoding", "expect", "trailer":
		return nil
	case "host":
		if h.authority != "" {
			value = []byte(h.authority)
		}
	}
	h.normalized = append(h.normalized, name...)
	h.normalized = append(h.normalized, ": "...)
	h.normalized = append(h.normalized, value...)
	h.normalized = append(h.normalized, lineEnd...)
	return nil
}

// parseField splits a header line into its name and its trimmed value, and checks
// the characters of both.
func parseField(line []byte) (name, value []byte, err error) {
	name, value, err = header.ParseField(line)
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return name, value, nil
}

func (h *head) checkHost() error {
	host, given := h.singletons["host"]
	if !given && !h.http10 {
		return fmt.Errorf("%w: Host header is missing", ErrMalformed)
	}
	if !given && h.authority != "" {
		h.normalized = append(h.normalized, "Host: "+h.authority+"\r\n"...)
	}
	if !isHost(host) {
		return fmt.Errorf("%w: Host header must be a name or address with an optional port", ErrMalformed)
	}
	return nil
}

// isHost reports whether text has no character that is invalid in a name or address
// with an optional port. Empty text passes.
func isHost(text string) bool { return !strings.ContainsAny(text, " \t/\\@?#,\"<>") }

func (h *head) checkLength() error {
	length, hasLength := h.singletons["content-length"]
	coding, hasCoding := h.singletons["transfer-encoding"]
	switch {
	case hasLength && hasCoding:
		return fmt.Errorf("%w: Content-Length and Transfer-Encoding are both present", ErrMalformed)
	case hasCoding && (h.http10 || !strings.EqualFold(coding, "chunked")):
		return fmt.Errorf("%w: Transfer-Encoding must be chunked and requires HTTP/1.1", ErrMalformed)
	case hasCoding:
		h.length = UnknownLength
	case hasLength:
		n, err := strconv.ParseUint(length, 10, 63)
		if err != nil || length[0] == '+' || len(length) > maxLengthDigits {
			return fmt.Errorf("%w: Content-Length must be a decimal number of at most 18 digits", ErrMalformed)
		}
		h.length = int64(n)
	}
	return nil
}

func (h *head) checkExpect() error {
	expect, given := h.singletons["expect"]
	if given && !strings.EqualFold(expect, "100-continue") {
		return ErrExpectation
	}
	h.expectsContinue = given && !h.http10 && h.length != 0
	return nil
}

func trim(value []byte) []byte { return bytes.Trim(value, " \t") }
