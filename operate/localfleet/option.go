package localfleet

import (
	"berylpass/config/settings"
	"berylpass/mesh/meshkey"
)

// DaemonOption changes the settings of one daemon before it starts.
type DaemonOption func(*settings.Settings)

// WithPlatformURL sets the URL of a daemon's platform, for example to one that can't be reached.
func WithPlatformURL(url string) DaemonOption {
	return func(s *settings.Settings) { s.Platform.URL = url }
}

// WithSecrets sets the mesh secret that a daemon presents to its peers, and further secrets that it trusts.
func WithSecrets(secret string, alsoTrusted ...string) DaemonOption {
	return func(s *settings.Settings) { s.Mesh.Secret, s.Mesh.AlsoTrustedSecrets = secret, alsoTrusted }
}

// WithMaxBody sets the maximum size of a request body in bytes.
func WithMaxBody(bytes int64) DaemonOption {
	return func(s *settings.Settings) { s.Limits.MaxBody = bytes }
}

// MeshKey returns the key with which the daemons of a local fleet authenticate each other.
func MeshKey() (*meshkey.MeshKey, error) { return meshkey.New(meshSecret) }

// WithTLS makes a daemon serve callers over TLS with the certificate and key in the PEM files.
func WithTLS(certificateFile, keyFile string) DaemonOption {
	return func(s *settings.Settings) { s.TLS.Certificate, s.TLS.Key = certificateFile, keyFile }
}
