package listener

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	nbtls "github.com/lesismal/llib/std/crypto/tls"
)

func certificate(t *testing.T, name string) *nbtls.Certificate {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: name},
		NotAfter:     time.Now().Add(time.Hour),
		DNSNames:     []string{name},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	pair, err := nbtls.X509KeyPair(
		pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: private}))
	if err != nil {
		t.Fatal(err)
	}
	return &pair
}

func TestTLSWithAReplacedCertificate(t *testing.T) {
	var current atomic.Pointer[nbtls.Certificate]
	current.Store(certificate(t, "first"))
	large := strings.Repeat("x", 2<<20)
	l := start(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Write(body)
	}, WithTLS(&nbtls.Config{GetCertificate: func(*nbtls.ClientHelloInfo) (*nbtls.Certificate, error) {
		return current.Load(), nil
	}}))
	for _, name := range []string{"first", "second"} {
		client := &http.Client{
			Timeout:   testTimeout,
			Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}},
		}
		for range 3 {
			response, err := client.Post("https://"+l.Address(), "text/plain", strings.NewReader(large))
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(response.Body)
			response.Body.Close()
			if err != nil || string(body) != large {
				t.Fatalf("%d bytes, %v", len(body), err)
			}
			if got := response.TLS.PeerCertificates[0].Subject.CommonName; got != name {
				t.Errorf("certificate of %s, want %s", got, name)
			}
		}
		client.CloseIdleConnections()
		current.Store(certificate(t, "second"))
	}
}
