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

// ErrNotReady is wrapped by the errors that say why a daemon takes no requests.
var ErrNotReady = errors.New("daemon is not ready to take requests")

var (
	errNoKey      = errors.New("request has no API key")
	errUnknownKey = errors.New("API key is unknown or withdrawn")
	errKeyInURL   = errors.New("API key appears in the request target")
	errTwoKeys    = errors.New("request has more than one API key")
	errBody       = errors.New("request body could not be read")
	// errOutdated reports a request that the configuration in force doesn't allow and a newer one
	// may allow, or the reverse.
	errOutdated = errors.New("configuration may be outdated")
)

const bearerPrefix = "Bearer "

// minSearchedKeyLen is the length in bytes from which a key is searched for in the target
// and in other headers: a shorter one could occur there by chance. Keys made by berylpass
// keygen are longer.
const minSearchedKeyLen = 16

// presentedKey returns the one key that came with the request. Its errors are errNoKey,
// errTwoKeys and, for an Authorization header that isn't a bearer token, errUnknownKey.
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
	if len(authorizations[0]) < len(bearerPrefix) || !strings.EqualFold(authorizations[0][:len(bearerPrefix)], bearerPrefix) {
		return "", errUnknownKey
	}
	return strings.TrimSpace(authorizations[0][len(bearerPrefix):]), nil
}

// removeKey removes every header value that contains the key and every header whose name
// does, cookies included. It changes h and returns it.
func removeKey(h http.Header, secret string) http.Header {
	if len(secret) < minSearchedKeyLen {
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

// targetContainsKey reports whether a request's target, which is parsed as u, contains the key, escaped or not.
func targetContainsKey(target string, u *url.URL, secret string) bool {
	if len(secret) < minSearchedKeyLen {
		return false
	}
	if strings.Contains(target, secret) || strings.Contains(u.Path, secret) {
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
