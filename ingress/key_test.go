package ingress

import (
	"errors"
	"net/http"
	"net/url"
	"strings"
	"testing"

	"berylpass/header"
)

const secret = "farmers-key-0123456789"

// TestPresentedKey checks that a request with more than one key is refused, and that an
// empty key is not treated as no key, which open routes would let pass.
func TestPresentedKey(t *testing.T) {
	for _, test := range []struct {
		header http.Header
		want   string
		err    error
	}{
		{http.Header{}, "", errNoKey},
		{http.Header{"Authorization": {"Bearer " + secret}}, secret, nil},
		{http.Header{"Authorization": {"bEaReR \t" + secret + " "}}, secret, nil},
		{http.Header{"X-Api-Key": {secret}}, secret, nil},
		{http.Header{"Authorization": {"Bearer "}}, "", nil},
		{http.Header{"X-Api-Key": {""}}, "", nil},
		{http.Header{"Authorization": {"Basic " + secret}}, "", errUnknownKey},
		{http.Header{"Authorization": {""}}, "", errUnknownKey},
		{http.Header{"Authorization": {"Bearer " + secret, "Bearer x"}}, "", errTwoKeys},
		{http.Header{"Authorization": {"Bearer " + secret}, "X-Api-Key": {secret}}, "", errTwoKeys},
	} {
		got, err := presentedKey(test.header)
		if got != test.want || !errors.Is(err, test.err) {
			t.Errorf("%v: got %q, %v, want %q, %v", test.header, got, err, test.want, test.err)
		}
	}
}

// FuzzPresentedKey checks that a key that is found was sent, that no forwarded header
// contains it, and that a target with the key in it is recognised.
func FuzzPresentedKey(f *testing.F) {
	f.Add("Bearer "+secret, "", "X-Copy", "a "+secret, "/fields?key=x")
	f.Add("", secret, "Cookie", secret, "/fields/"+secret)
	f.Add("bearer\t"+secret, secret, "x", "", "/%66armers-key-0123456789")
	f.Fuzz(func(t *testing.T, authorization, apiKey, name, value, target string) {
		h := http.Header{}
		for n, v := range map[string]string{header.Authorization: authorization, header.APIKey: apiKey, name: value} {
			if v != "" {
				h.Add(n, v)
			}
		}
		found, err := presentedKey(h)
		if err != nil {
			if found != "" {
				t.Fatalf("a key is returned together with the error %v", err)
			}
			return
		}
		if !strings.Contains(authorization+"\n"+apiKey+"\n"+value, found) {
			t.Fatalf("found key %q, which was not sent", found)
		}
		if len(found) < minSearchedKeyLen {
			return
		}
		for n, values := range removeKey(header.FromCaller(h), found) {
			if strings.Contains(n+strings.Join(values, "\n"), found) {
				t.Fatalf("header %q still contains the key", n)
			}
		}
		u, err := url.ParseRequestURI(target)
		if err == nil && strings.Contains(u.Path+"?"+u.RawQuery, found) && !targetContainsKey(target, u, found) {
			t.Fatalf("target %q contains the key, but targetContainsKey reports false", target)
		}
	})
}
