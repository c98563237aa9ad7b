// Package certificate holds the certificate of the callers' port and reads it
// anew when its files change, without a restart.
//
// # Usage
//
//	c, err := certificate.New("server.pem", "server.key", time.Now)
//	config := &tls.Config{GetCertificate: c.Get}
package certificate

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/lesismal/llib/std/crypto/tls"
)

// checkInterval is the pause between two looks at the files.
const checkInterval = 5 * time.Second

// Certificate is a certificate that follows its files. It is safe for concurrent use.
type Certificate struct {
	certificateFile, keyFile string
	clock                    func() time.Time
	observe                  func(error)

	mu       sync.Mutex
	current  *tls.Certificate
	changed  time.Time
	lookedAt time.Time
}

// Option changes how a certificate is kept.
type Option func(*Certificate)

// WithObserver is called after each reading of changed files, with nil or the
// error for which the certificate in use stays.
func WithObserver(observe func(error)) Option {
	return func(c *Certificate) { c.observe = observe }
}

// New reads the PEM files.
func New(certificateFile, keyFile string, clock func() time.Time, options ...Option) (*Certificate, error) {
	c := &Certificate{certificateFile: certificateFile, keyFile: keyFile, clock: clock, observe: func(error) {}}
	for _, option := range options {
		option(c)
	}
	now := clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.read(now); err != nil {
		return nil, fmt.Errorf("read certificate: %w", err)
	}
	return c, nil
}

// Get returns the certificate in use; it has the form that a TLS configuration wants.
func (c *Certificate) Get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	now := c.clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.lookedAt) < checkInterval {
		return c.current, nil
	}
	c.lookedAt = now
	if modified, err := c.modified(); err == nil && modified.After(c.changed) {
		c.observe(c.read(now))
	}
	return c.current, nil
}

// read replaces the certificate if the files hold a valid pair. The caller holds c.mu.
func (c *Certificate) read(now time.Time) error {
	modified, err := c.modified()
	if err != nil {
		return err
	}
	pair, err := tls.LoadX509KeyPair(c.certificateFile, c.keyFile)
	if err != nil {
		return err
	}
	c.current, c.changed, c.lookedAt = &pair, modified, now
	return nil
}

// modified returns the later time of change of the two files.
func (c *Certificate) modified() (time.Time, error) {
	certificate, err := os.Stat(c.certificateFile)
	if err != nil {
		return time.Time{}, err
	}
	key, err := os.Stat(c.keyFile)
	if err != nil {
		return time.Time{}, err
	}
	if key.ModTime().After(certificate.ModTime()) {
		return key.ModTime(), nil
	}
	return certificate.ModTime(), nil
}
