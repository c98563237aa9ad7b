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

// write makes a self-signed pair with the common name, its files changed at the given time.
func write(t *testing.T, dir, name string, changed time.Time) (certificateFile, keyFile string) {
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
	put(t, certificateFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), changed)
	put(t, keyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: key}), changed)
	return certificateFile, keyFile
}

func put(t *testing.T, file string, text []byte, changed time.Time) {
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
	got, err := c.Get(nil)
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := x509.ParseCertificate(got.Certificate[0])
	if err != nil {
		t.Fatal(err)
	}
	return parsed.Subject.CommonName
}

func TestChangedFilesAreReadAndBrokenOnesAreNot(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	dir := t.TempDir()
	certificateFile, keyFile := write(t, dir, "first", now)
	var told []error
	c, err := New(certificateFile, keyFile, func() time.Time { return now }, WithObserver(func(err error) { told = append(told, err) }))
	if err != nil {
		t.Fatal(err)
	}
	write(t, dir, "second", now.Add(time.Second))
	if got := commonName(t, c); got != "first" {
		t.Errorf("before the next look: %s", got)
	}
	now = now.Add(checkInterval)
	if got := commonName(t, c); got != "second" {
		t.Errorf("after the files changed: %s", got)
	}
	put(t, certificateFile, []byte("broken"), now)
	now = now.Add(checkInterval)
	if got := commonName(t, c); got != "second" {
		t.Errorf("after the files broke: %s", got)
	}
	if len(told) != 2 || told[0] != nil || told[1] == nil {
		t.Errorf("told %v, want nil and an error", told)
	}
}
