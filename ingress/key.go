package ingress

import (
	"errors"
	"net"
	"net/http"
	"strings"

	"berylpass/header"
)

// ErrNotReady is wrapped by the reasons for which a daemon takes no requests.
var ErrNotReady = errors.New("daemon takes no requests")

var (
	errNoKey      = errors.New("no key came with the request")
	errUnknownKey = errors.New("the key is not in force")
	errTwoKeys    = errors.New("more than one key came with the request")
	errBody       = errors.New("the request's body could not be read")
)

const bearer = "Bearer "

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

// hostname returns the host without its port.
func hostname(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}
