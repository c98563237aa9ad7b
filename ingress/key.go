package ingress

import (
	"errors"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"berylpass/header"
)

// ErrNotReady is wrapped by the reasons for which a daemon takes no requests.
var ErrNotReady = errors.New("daemon takes no requests")

var (
	errNoKey      = errors.New("no key came with the request")
	errUnknownKey = errors.New("the key is not in force")
	errKeyInURL   = errors.New("the key is also in the request's target")
	errTwoKeys    = errors.New("more than one key came with the request")
	errBody       = errors.New("the request's body could not be read")
)

const bearer = "Bearer "

// minRepeated is the length in bytes from which a key is looked for outside its
// own header. Keys of berylpass keygen are longer.
const minRepeated = 16

// presentedKey returns the one key that came with the request.
func presentedKey(h http.Header) (string, error) {
	authorizations, keys := h.Values(header.Authorization), h.Values(header.APIKey)
	switch {
	case len(authorizations)+len(keys) > 1:
		return "", errTwoKeys
	case len(keys) == 1:
		return keys[0], nil
	case len(authorizations) == 0:
		return "", errNoKey
	}
	if len(authorizations[0]) < len(bearer) || !strings.EqualFold(authorizations[0][:len(bearer)], bearer) {
		return "", errUnknownKey
	}
	return strings.TrimSpace(authorizations[0][len(bearer):]), nil
}

// withoutKey removes in place the headers that repeat the key which came with the
// request, whatever their names, a cookie among them.
func withoutKey(h http.Header, secret string) http.Header {
	if len(secret) < minRepeated {
		return h
	}
	for name, values := range h {
		kept := slices.DeleteFunc(values, func(v string) bool { return strings.Contains(v, secret) })
		h[name] = kept
		if len(kept) == 0 || strings.Contains(name, secret) {
			delete(h, name)
		}
	}
	return h
}

// inTarget reports whether a request's target repeats the key, escaped or not.
func inTarget(u *url.URL, secret string) bool {
	if len(secret) < minRepeated {
		return false
	}
	if strings.Contains(u.RequestURI(), secret) || strings.Contains(u.Path, secret) {
		return true
	}
	query, err := url.QueryUnescape(u.RawQuery)
	return err == nil && strings.Contains(query, secret)
}

// hostname returns the host without its port.
func hostname(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}
