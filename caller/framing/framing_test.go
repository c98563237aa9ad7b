package framing

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

// frameAll passes raw to a Framer in pieces of the given number of bytes, and returns
// the parts as text, one line per request.
func frameAll(raw string, piece int) (string, error) {
	f := New(1<<10, 64)
	out := ""
	for len(raw) > 0 {
		n := min(piece, len(raw))
		data := []byte(raw[:n])
		raw = raw[n:]
		for {
			part, rest, err := f.Next(data)
			if err != nil {
				return out, err
			}
			data = rest
			switch part.Kind {
			case Head:
				out += fmt.Sprintf("%s[%d %t]", strings.ReplaceAll(string(part.Bytes), "\r\n", "|"), part.Length, part.ExpectsContinue)
			case Body:
				out += string(part.Bytes)
			case End:
				out += "\n"
			}
			if part.Kind == None && len(rest) == 0 {
				break
			}
		}
	}
	return out, nil
}

// The result must not depend on how TCP splits the requests.
func TestFramingIsIndependentOfPieceSize(t *testing.T) {
	raw := "GET /a?b=%20 HTTP/1.1\r\nHost: h:80\r\nX:  1 \t\r\n\r\n" +
		"\r\nPOST / HTTP/1.1\r\nhost: h\r\nContent-Length: 5\r\nExpect: 100-Continue\r\n\r\nhello" +
		"PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: Chunked\r\nTrailer: X\r\n\r\n3;a=b\r\nabc\r\n0002\r\nde\r\n0\r\nX: 1\r\n\r\n" +
		"GET / HTTP/1.0\r\n\r\n"
	want := "GET /a?b=%20 HTTP/1.1|Host: h:80|X: 1||[0 false]\n" +
		"POST / HTTP/1.1|host: h|Transfer-Encoding: chunked||[5 true]hello\n" +
		"PUT / HTTP/1.1|Host: h|Transfer-Encoding: chunked||[-1 false]abcde\n" +
		"GET / HTTP/1.0||[0 false]\n"
	for piece := 1; piece <= len(raw); piece++ {
		if got, err := frameAll(raw, piece); err != nil || got != want {
			t.Fatalf("pieces of %d: %v\n%s", piece, err, got)
		}
	}
}

// A target in absolute form is passed on as path and query, and its host takes
// precedence over the Host field (RFC 9112, section 3.2.2).
func TestTargetsInAbsoluteForm(t *testing.T) {
	for raw, want := range map[string]string{
		"GET http://h:80/a?b HTTP/1.1\r\nHost: other\r\nX: 1\r\n\r\n": "GET /a?b HTTP/1.1|Host: h:80|X: 1||[0 false]\n",
		"GET HTTPS://h HTTP/1.1\r\nHost: h\r\n\r\n":                   "GET / HTTP/1.1|Host: h||[0 false]\n",
		"GET http://h?b HTTP/1.1\r\nHost: h\r\n\r\n":                  "GET /?b HTTP/1.1|Host: h||[0 false]\n",
		"GET http://h/ HTTP/1.0\r\n\r\n":                              "GET / HTTP/1.0|Host: h||[0 false]\n",
		"GET /a?u=http://h/ HTTP/1.1\r\nHost: h\r\n\r\n":              "GET /a?u=http://h/ HTTP/1.1|Host: h||[0 false]\n",
	} {
		if got, err := frameAll(raw, len(raw)); err != nil || got != want {
			t.Errorf("%q: %v\n%s", raw, err, got)
		}
	}
}

func TestRefusedRequests(t *testing.T) {
	const ok = "Host: h\r\n"
	get := func(fields string) string { return "GET / HTTP/1.1\r\n" + fields + "\r\n" }
	chunked := func(body string) string {
		return "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + body
	}
	for name, test := range map[string]struct {
		raw  string
		want error
	}{
		"length and chunks":    {get(ok + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"), ErrMalformed},
		"two lengths":          {get(ok + "Content-Length: 3\r\nContent-Length: 4\r\n"), ErrMalformed},
		"length list":          {get(ok + "Content-Length: 3, 3\r\n"), ErrMalformed},
		"negative length":      {get(ok + "Content-Length: -1\r\n"), ErrMalformed},
		"signed length":        {get(ok + "Content-Length: +1\r\n"), ErrMalformed},
		"empty length":         {get(ok + "Content-Length:\r\n"), ErrMalformed},
		"huge length":          {get(ok + "Content-Length: 99999999999999999999\r\n"), ErrMalformed},
		"no host":              {get("X: 1\r\n"), ErrMalformed},
		"two hosts":            {get(ok + ok), ErrMalformed},
		"host with a path":     {get("Host: h/x\r\n"), ErrMalformed},
		"space before colon":   {get(ok + "Authorization : x\r\n"), ErrMalformed},
		"folded line":          {get(ok + "X: 1\r\n 2\r\n"), ErrMalformed},
		"NUL":                  {get(ok + "X: a\x00b\r\n"), ErrMalformed},
		"bare LF":              {get(ok + "X: a\nY: b\r\n"), ErrMalformed},
		"bare CR":              {get(ok + "X: a\rb\r\n"), ErrMalformed},
		"DEL":                  {get(ok + "X: \x7f\r\n"), ErrMalformed},
		"two keys":             {get(ok + "Authorization: a\r\nauthorization: b\r\n"), ErrMalformed},
		"two API keys":         {get(ok + "X-Api-Key: a\r\nX-API-KEY: a\r\n"), ErrMalformed},
		"other coding":         {get(ok + "Transfer-Encoding: gzip, chunked\r\n"), ErrMalformed},
		"hidden coding":        {get(ok + "Transfer-Encoding: \x0bchunked\r\n"), ErrMalformed},
		"old with chunks":      {"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", ErrMalformed},
		"no name":              {get(ok + ": x\r\n"), ErrMalformed},
		"no colon":             {get(ok + "x\r\n"), ErrMalformed},
		"version 2":            {"GET / HTTP/2.0\r\nHost: h\r\n\r\n", ErrMalformed},
		"two spaces":           {"GET  / HTTP/1.1\r\nHost: h\r\n\r\n", ErrMalformed},
		"lower-case method":    {"get / HTTP/1.1\r\nHost: h\r\n\r\n", ErrMalformed},
		"connect":              {"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n", ErrMalformed},
		"absolute, no host":    {"GET http:///a HTTP/1.1\r\nHost: h\r\n\r\n", ErrMalformed},
		"absolute, user":       {"GET http://u@h/ HTTP/1.1\r\nHost: h\r\n\r\n", ErrMalformed},
		"absolute, scheme":     {"GET ftp://h/ HTTP/1.1\r\nHost: h\r\n\r\n", ErrMalformed},
		"absolute, two hosts":  {"GET http://h/ HTTP/1.1\r\nHost: h\r\nHost: h\r\n\r\n", ErrMalformed},
		"bad escape":           {"GET /%zz HTTP/1.1\r\nHost: h\r\n\r\n", ErrMalformed},
		"fragment":             {"GET /#a HTTP/1.1\r\nHost: h\r\n\r\n", ErrMalformed},
		"TLS on a plain port":  {"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n", ErrMalformed},
		"expectation":          {get(ok + "Expect: 200-ok\r\n"), ErrExpectation},
		"header too large":     {get(ok + "X: " + strings.Repeat("x", 1<<10) + "\r\n"), ErrHeaderTooLarge},
		"endless header":       {"GET /" + strings.Repeat("x", 2<<10), ErrHeaderTooLarge},
		"body too large":       {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n", ErrBodyTooLarge},
		"chunks too large":     {chunked("40\r\n" + strings.Repeat("x", 64) + "\r\n1\r\n"), ErrBodyTooLarge},
		"huge chunk":           {chunked("fffffffff\r\n"), ErrMalformed},
		"chunk size not hex":   {chunked("0x1\r\n"), ErrMalformed},
		"empty chunk size":     {chunked("\r\n"), ErrMalformed},
		"signed chunk size":    {chunked("-1\r\n"), ErrMalformed},
		"chunk over its size":  {chunked("1\r\nab\r\n"), ErrMalformed},
		"endless chunk line":   {chunked("1;" + strings.Repeat("x", 2<<10)), ErrMalformed},
		"endless trailer":      {chunked("0\r\n" + strings.Repeat("X: 1\r\n", 300)), ErrMalformed},
		"bare LF after a size": {chunked("1;x\ny\r\n"), ErrMalformed},
	} {
		for _, piece := range []int{1, 1 << 20} {
			if out, err := frameAll(test.raw, piece); !errors.Is(err, test.want) {
				t.Errorf("%s in pieces of %d: got error %v, want %v; accepted %q", name, piece, err, test.want, out)
			}
		}
	}
}

// FuzzNext checks that the result doesn't depend on the piece size, and that net/http
// reads the same request line from the normalized head of each accepted request.
func FuzzNext(f *testing.F) {
	f.Add("GET /a HTTP/1.1\r\nHost: h\r\n\r\n", 3)
	f.Add("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhelloGET / HTTP/1.0\r\n\r\n", 1)
	f.Add("PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;a\r\nabc\r\n0\r\nX: 1\r\n\r\n", 7)
	f.Fuzz(func(t *testing.T, raw string, piece int) {
		whole, errWhole := frameAll(raw, len(raw)+1)
		pieces, errPieces := frameAll(raw, max(1, piece&0xff))
		if errWhole == nil && errPieces == nil && whole != pieces {
			t.Fatalf("whole %q, in pieces %q", whole, pieces)
		}
		if (errWhole == nil) != (errPieces == nil) {
			t.Fatalf("whole %v, in pieces %v", errWhole, errPieces)
		}
		framer := New(1<<10, 64)
		part, _, err := framer.Next([]byte(raw))
		if err != nil || part.Kind != Head {
			return
		}
		normalized := bytes.NewReader(part.Bytes)
		r, err := http.ReadRequest(bufio.NewReader(io.MultiReader(normalized, strings.NewReader("0\r\n\r\n"))))
		if err != nil {
			t.Fatalf("net/http rejects %q: %v", part.Bytes, err)
		}
		if got := r.Method + " " + r.RequestURI + " " + r.Proto + "\r\n"; !strings.HasPrefix(string(part.Bytes), got) {
			t.Fatalf("net/http reads %q from %q", got, part.Bytes)
		}
	})
}

func BenchmarkNext(b *testing.B) {
	for _, fields := range []int{5, 20, 80} {
		raw := []byte("GET /lookup/fields/17 HTTP/1.1\r\nHost: rounds.example\r\n" +
			strings.Repeat("X-Field-Name: a value of some length\r\n", fields) + "\r\n")
		b.Run(fmt.Sprintf("fields-%d", fields), func(b *testing.B) {
			f := New(64<<10, 1<<20)
			b.ReportAllocs()
			b.SetBytes(int64(len(raw)))
			for range b.N {
				if part, _, err := f.Next(raw); err != nil || part.Kind != Head {
					b.Fatal(part.Kind, err)
				}
				f.Next(nil)
			}
		})
	}
}
