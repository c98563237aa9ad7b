package certificate

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// writePair writes a self-signed certificate with the given common name and its key,
// both files with the given modification time.
func writePair(t *testing.T, dir, name string, changed time.Time) (certificateFile, keyFile string) {
	t.Helper()
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, NotAfter: changed.Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	if err != nil {
		t.Fatal(err)
	}
	key, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	certificateFile, keyFile = filepath.Join(dir, "server.pem"), filepath.Join(dir, "server.key")
	writeFile(t, certificateFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), changed)
	writeFile(t, keyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: key}), changed)
	return certificateFile, keyFile
}

func writeFile(t *testing.T, file string, text []byte, changed time.Time) {
	t.Helper()
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Chtimes(file, changed, changed); err != nil {
		t.Fatal(err)
	}
}

func commonName(t *testing.T, c *Certificate) string {
	t.Helper()
	got, err := c.GetCertificate(nil)
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := x509.ParseCertificate(got.Certificate[0])
	if err != nil {
		t.Fatal(err)
	}
	return parsed.Subject.CommonName
}

func TestChangedFilesAreLoadedAndInvalidOnesIgnored(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	dir := t.TempDir()
	certificateFile, keyFile := writePair(t, dir, "first", now)
	var observed []error
	c, err := New(certificateFile, keyFile, func() time.Time { return now }, WithLoadObserver(func(err error) { observed = append(observed, err) }))
	if err != nil {
		t.Fatal(err)
	}
	writePair(t, dir, "second", now.Add(time.Second))
	if got := commonName(t, c); got != "first" {
		t.Errorf("before the next check: certificate of %s, want first", got)
	}
	now = now.Add(checkInterval)
	if got := commonName(t, c); got != "second" {
		t.Errorf("after the files changed: certificate of %s, want second", got)
	}
	writeFile(t, certificateFile, []byte("broken"), now)
	now = now.Add(checkInterval)
	if got := commonName(t, c); got != "second" {
		t.Errorf("after the certificate file became invalid: certificate of %s, want second", got)
	}
	if len(observed) != 2 || observed[0] != nil || observed[1] == nil {
		t.Errorf("observed %v, want nil and an error", observed)
	}
}
