// Package certificate holds the TLS certificate of the callers' port and reloads
// it when its files change, without a restart.
//
// # Usage
//
//	c, err := certificate.New("server.pem", "server.key", time.Now)
//	config := &tls.Config{GetCertificate: c.GetCertificate}
package certificate

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/lesismal/llib/std/crypto/tls"
)

// checkInterval is the minimum time between two checks of the files' modification times.
const checkInterval = 5 * time.Second

// Certificate is a certificate that is reloaded when its files change. It is safe for concurrent use.
type Certificate struct {
	certificateFile, keyFile string
	clock                    func() time.Time
	observe                  func(error)

	mu            sync.Mutex
	current       *tls.Certificate
	loadedModTime time.Time
	checkedAt     time.Time
}

// Option configures a Certificate.
type Option func(*Certificate)

// WithLoadObserver sets a function that is called after each attempt to load changed
// files, with nil or with the error because of which the current certificate is kept.
func WithLoadObserver(observe func(error)) Option {
	return func(c *Certificate) { c.observe = observe }
}

// New loads a certificate and its private key from two PEM files. Later checks for
// changes are timed by clock.
func New(certificateFile, keyFile string, clock func() time.Time, options ...Option) (*Certificate, error) {
	c := &Certificate{certificateFile: certificateFile, keyFile: keyFile, clock: clock, observe: func(error) {}}
	for _, option := range options {
		option(c)
	}
	now := clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.load(now); err != nil {
		return nil, fmt.Errorf("read certificate: %w", err)
	}
	return c, nil
}

// GetCertificate returns the current certificate, after loading changed files if a check is due.
// It never returns an error, and can be used as tls.Config.GetCertificate.
func (c *Certificate) GetCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	now := c.clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.checkedAt) < checkInterval {
		return c.current, nil
	}
	c.checkedAt = now
	if modified, err := c.modified(); err == nil && modified.After(c.loadedModTime) {
		c.observe(c.load(now))
	}
	return c.current, nil
}

// load replaces the current certificate if the files hold a valid pair. The caller holds c.mu.
func (c *Certificate) load(now time.Time) error {
	modified, err := c.modified()
	if err != nil {
		return err
	}
	pair, err := tls.LoadX509KeyPair(c.certificateFile, c.keyFile)
	if err != nil {
		return err
	}
	c.current, c.loadedModTime, c.checkedAt = &pair, modified, now
	return nil
}

// modified returns the later modification time of the two files.
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
