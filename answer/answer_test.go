package answer

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
)

const maxTestHead, maxTestBody = 4 << 10, 4 << 10

// seeds returns the raw answers of a file in testdata, by their names.
func seeds(t testing.TB, file string) map[string]string {
	t.Helper()
	text, err := os.ReadFile("testdata/" + file)
	if err != nil {
		t.Fatal(err)
	}
	answers := map[string]string{}
	for line := range strings.Lines(string(text)) {
		name, quoted, _ := strings.Cut(strings.TrimSpace(line), ": ")
		raw, err := strconv.Unquote(quoted)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		answers[name] = raw
	}
	return answers
}

// readFinal reads the first answer to a request with the method that isn't interim.
func readFinal(in *bufio.Reader, method string) (Head, []byte, error) {
	for {
		head, err := ReadHead(in, maxTestHead)
		if err != nil {
			return Head{}, nil, err
		}
		if head.Status < http.StatusOK {
			continue
		}
		body, err := head.ReadBody(in, method, maxTestBody)
		return head, body, err
	}
}

func TestMalformedAnswers(t *testing.T) {
	for name, raw := range seeds(t, "malformed.txt") {
		head, body, err := readFinal(bufio.NewReader(strings.NewReader(raw)), http.MethodGet)
		if !errors.Is(err, ErrMalformed) && !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%s: got %+v %q, %v", name, head, body, err)
		}
	}
}

func TestUncommonAnswers(t *testing.T) {
	for name, raw := range seeds(t, "uncommon.txt") {
		in := bufio.NewReader(strings.NewReader(raw))
		head, body, err := readFinal(in, http.MethodGet)
		if err != nil || string(body) != "yes" || len(head.Header["Content-Length"]) > 1 {
			t.Errorf("%s: got %+v %q, %v", name, head, body, err)
		}
		if in.Buffered() > 0 {
			t.Errorf("%s: %d bytes are left", name, in.Buffered())
		}
	}
}

func TestEndingsAndClose(t *testing.T) {
	for _, test := range []struct {
		method, raw string
		ending      Ending
		last        bool
	}{
		{"GET", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", ByLength, false},
		{"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", ByChunks, false},
		{"GET", "HTTP/1.1 200 OK\r\nConnection: x, Close\r\n\r\n", ByClose, true},
		{"GET", "HTTP/1.1 204 No Content\r\n\r\n", NoBody, false},
		{"GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", NoBody, false},
		{"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", NoBody, false},
		{"GET", "HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n", ByLength, true},
		{"GET", "HTTP/1.0 200 OK\r\nContent-Length: 0\r\nConnection: keep-alive\r\n\r\n", ByLength, false},
	} {
		head, _, err := readFinal(bufio.NewReader(strings.NewReader(test.raw)), test.method)
		if err != nil || head.Ending(test.method) != test.ending || head.Close != test.last {
			t.Errorf("%s %q: ending %d, close %t, %v", test.method, test.raw, head.Ending(test.method), head.Close, err)
		}
	}
}

func TestSizesAreBounded(t *testing.T) {
	long := strings.Repeat("x", maxTestBody+1)
	for name, raw := range map[string]string{
		"head":   "HTTP/1.1 200 OK\r\nA: " + long + "\r\n\r\n",
		"fields": "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", maxTestHead) + "\r\n",
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
		"chunk":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffff\r\n",
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", maxTestBody+1) + "0\r\n\r\n",
		"close":  "HTTP/1.1 200 OK\r\n\r\n" + long,
	} {
		if _, _, err := readFinal(bufio.NewReader(strings.NewReader(raw)), http.MethodGet); !errors.Is(err, ErrTooLarge) {
			t.Errorf("%s: got %v, want ErrTooLarge", name, err)
		}
	}
}

func TestCheck(t *testing.T) {
	for _, test := range []struct {
		raw                string
		allowed, delimited bool
	}{
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true, true},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", true, true},
		{"HTTP/1.1 204 No Content\r\n\r\n", true, true},
		{"HTTP/1.1 200 OK\r\n\r\nok", true, false},
		{"HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n\r\nok", false, true},
		{"HTTP/1.1 101 Switching Protocols\r\n\r\n", false, true},
		{"HTTP/1.1 600 Trouble\r\nContent-Length: 2\r\n\r\nok", false, true},
		{"HTTP/1.1 200 OK\r\nX Own: 1\r\nContent-Length: 2\r\n\r\nok", false, true},
	} {
		response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(test.raw)), nil)
		if err != nil {
			t.Fatal(err)
		}
		if err := Check(response); (err == nil) != test.allowed || IsDelimited(response) != test.delimited {
			t.Errorf("%q: %v, delimited %t", test.raw, err, IsDelimited(response))
		}
	}
}

// FuzzRead checks that net/http reads each answer that is taken in the same way, so that no second reading of it exists.
func FuzzRead(f *testing.F) {
	for _, file := range []string{"malformed.txt", "uncommon.txt"} {
		for _, raw := range seeds(f, file) {
			f.Add(raw, false)
			f.Add(raw, true)
		}
	}
	f.Fuzz(func(t *testing.T, raw string, headOnly bool) {
		method := map[bool]string{true: http.MethodHead, false: http.MethodGet}[headOnly]
		in := bufio.NewReader(strings.NewReader(raw))
		head, body, err := readFinal(in, method)
		if err != nil {
			return
		}
		again := bufio.NewReader(strings.NewReader(raw))
		response, err := http.ReadResponse(again, &http.Request{Method: method})
		for err == nil && response.StatusCode < http.StatusOK {
			response, err = http.ReadResponse(again, &http.Request{Method: method})
		}
		if err != nil {
			t.Fatalf("net/http rejects %q: %v", raw, err)
		}
		same, err := io.ReadAll(response.Body)
		if err != nil {
			// Unlike net/http, RFC 9112 allows blanks before a chunk extension.
			return
		}
		if string(same) != string(body) || response.StatusCode != head.Status {
			t.Fatalf("got %d %q, net/http %d %q", head.Status, body, response.StatusCode, same)
		}
		if err := Check(response); err != nil {
			t.Fatal(err)
		}
		if IsDelimited(response) != (head.Ending(method) != ByClose) {
			t.Fatalf("ending %d, delimited %t", head.Ending(method), IsDelimited(response))
		}
	})
}
