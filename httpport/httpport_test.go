package httpport

import (
	"bytes"
	"io"
	"net/http"
	"testing"

	"berylpass/mesh/meshkey"
)

func TestTLSPortServesDaemonsOnly(t *testing.T) {
	key, err := meshkey.New("secret-of-this-fleet")
	if err != nil {
		t.Fatal(err)
	}
	p, err := New("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		_, _ = w.Write(body)
	}), WithTLS(key.NonBlockingServerTLS()))
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	body := bytes.Repeat([]byte("photo"), 1<<20)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: key.ClientTLS()}}
	for range 3 {
		response, err := client.Post("https://"+p.Address()+"/", "image/jpeg", bytes.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(response.Body)
		if err != nil || !bytes.Equal(got, body) {
			t.Fatalf("echo of %d bytes: %d bytes, %v", len(body), len(got), err)
		}
	}
	other, err := meshkey.New("secret-of-another-fleet")
	if err != nil {
		t.Fatal(err)
	}
	stranger := &http.Client{Transport: &http.Transport{TLSClientConfig: other.ClientTLS()}}
	if _, err := stranger.Get("https://" + p.Address() + "/"); err == nil {
		t.Fatal("a stranger was served")
	}
	if _, err := http.Get("http://" + p.Address() + "/"); err == nil {
		t.Fatal("plain HTTP was served")
	}
}
