package localfleet

import (
	"berylpass/config/settings"
	"berylpass/mesh/meshkey"
)

// Setting changes the settings of one daemon before it starts.
type Setting func(*settings.Settings)

// WithPlatformURL sends a daemon's calls of the platform elsewhere, for one that can't reach it.
func WithPlatformURL(url string) Setting {
	return func(s *settings.Settings) { s.Platform.URL = url }
}

// WithSecrets sets the secret that a daemon shows to its peers, and those that it trusts besides.
func WithSecrets(secret string, alsoTrusted ...string) Setting {
	return func(s *settings.Settings) { s.Mesh.Secret, s.Mesh.AlsoTrustedSecrets = secret, alsoTrusted }
}

// WithMaxBody bounds the bodies that a daemon takes, in bytes.
func WithMaxBody(bytes int64) Setting {
	return func(s *settings.Settings) { s.Limits.MaxBody = bytes }
}

// MeshKey returns the key by which the daemons of a local fleet know each other.
func MeshKey() (*meshkey.MeshKey, error) { return meshkey.New(secret) }

// WithTLS serves callers over TLS with the PEM files.
func WithTLS(certificateFile, keyFile string) Setting {
	return func(s *settings.Settings) { s.TLS.Certificate, s.TLS.Key = certificateFile, keyFile }
}
