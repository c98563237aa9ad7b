package daemon_test

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"berylpass/ingress"
	"berylpass/operate/localfleet"
)

// selfSigned writes a self-signed certificate for 127.0.0.1 and its key, and returns the
// names of the files and a pool that trusts the certificate.
func selfSigned(t *testing.T) (certificateFile, keyFile string, trust *x509.CertPool) {
	t.Helper()
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	if err != nil {
		t.Fatal(err)
	}
	key, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	certificateFile, keyFile = filepath.Join(dir, "server.pem"), filepath.Join(dir, "server.key")
	text := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	trust = x509.NewCertPool()
	trust.AppendCertsFromPEM(text)
	for file, content := range map[string][]byte{
		certificateFile: text,
		keyFile:         pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: key}),
	} {
		if err := os.WriteFile(file, content, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return certificateFile, keyFile, trust
}

// TestCallersOverTLS checks that a callers' port with a certificate answers requests over
// TLS and none without it.
func TestCallersOverTLS(t *testing.T) {
	certificateFile, keyFile, trust := selfSigned(t)
	f := newTestFleet(t, 1)
	f.startDaemon(2, localfleet.WithTLS(certificateFile, keyFile))
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: trust}}}
	defer client.CloseIdleConnections()
	f.waitUntil("the request over TLS is answered", func() bool {
		request, err := http.NewRequest(http.MethodGet, "https://"+f.callersAddress(2)+"/fields", nil)
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer "+secret)
		response, err := client.Do(request)
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.Header.Get(ingress.OutcomeHeader) == string(ingress.Answered)
	})
	if response, err := http.Get("http://" + f.callersAddress(2) + "/fields"); err == nil {
		response.Body.Close()
		t.Error("plain HTTP was answered on a TLS port")
	}
}
