// Package meshkey derives mutual TLS between the daemons of a fleet from the secret that
// they share.
//
// Every daemon derives the same Ed25519 key pair from the secret and presents a
// self-signed certificate for it. A peer is trusted if its public key is derived from
// a secret that this daemon has. During a rotation a daemon has two secrets: it
// presents the key of the first and trusts both, so that the daemons can always
// connect to each other.
//
// A daemon resumes the TLS session that it last had with any daemon of the fleet, which costs
// no signatures; therefore one configuration is to be used for all connections.
//
// # Usage
//
//	k, err := meshkey.New("new secret", "old secret")
//	server, client := k.ServerTLS(), k.ClientTLS()
//	listener := tls.NewListener(tcp, server)
//	conn := tls.Client(tcp, client)
package meshkey

import (
	"crypto"
	"crypto/ed25519"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"errors"
	"fmt"
	"math/big"
	"time"
)

// MinSecretLength is the least length of a secret in bytes.
const MinSecretLength = 16

// decade is ten years of 365 days. The self-signed certificate, which is created at
// each start, is valid for ten decades from the Unix epoch, until 2069.
const decade = 10 * 365 * 24 * time.Hour

var (
	// ErrShortSecret is wrapped by the error of a secret shorter than MinSecretLength.
	ErrShortSecret = errors.New("mesh secret is too short")
	// ErrUntrustedPeer is the error of a handshake with a peer that presents no certificate of this fleet.
	ErrUntrustedPeer = errors.New("peer is not a daemon of this fleet")
)

// MeshKey authenticates daemons to each other. It is safe for concurrent use.
type MeshKey struct {
	// certificate is the one that this daemon presents.
	certificate tls.Certificate
	// trusted are the public keys of the peers that are accepted.
	trusted []ed25519.PublicKey
	// secrets are the secrets that the keys are derived from, the one of the certificate first.
	secrets []string
}

// New derives the key to present from secret, and the keys to trust from it and from
// alsoTrusted. Its error wraps ErrShortSecret if one of them is too short.
func New(secret string, alsoTrusted ...string) (*MeshKey, error) {
	k := &MeshKey{}
	for i, s := range append([]string{secret}, alsoTrusted...) {
		if len(s) < MinSecretLength {
			return nil, fmt.Errorf("%w: want at least %d bytes", ErrShortSecret, MinSecretLength)
		}
		private := ed25519.NewKeyFromSeed(derive(s, "tls"))
		k.trusted = append(k.trusted, private.Public().(ed25519.PublicKey))
		k.secrets = append(k.secrets, s)
		if i > 0 {
			continue
		}
		certificate, err := selfSign(private)
		if err != nil {
			return nil, err
		}
		k.certificate = certificate
	}
	return k, nil
}

// ServerTLS returns the configuration of a server that accepts only daemons of this fleet.
func (k *MeshKey) ServerTLS() *tls.Config {
	c := k.ClientTLS()
	c.ClientAuth = tls.RequireAnyClientCert
	c.ClientSessionCache = nil
	c.SetSessionTicketKeys(k.ticketKeys(controlTickets))
	return c
}

// ClientTLS returns the configuration of a client that accepts only daemons of this fleet
// as servers.
func (k *MeshKey) ClientTLS() *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{k.certificate},
		MinVersion:   tls.VersionTLS13,
		// The default key exchange of crypto/tls would add 2.3 KB to each handshake, two
		// thirds of its size.
		CurvePreferences:   []tls.CurveID{tls.X25519},
		ClientSessionCache: &sessions{},
		// VerifyConnection compares the peer's public key. There is no certificate authority.
		InsecureSkipVerify: true,
		VerifyConnection:   k.verify,
	}
}

func (k *MeshKey) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return ErrUntrustedPeer
	}
	return k.verifyKey(state.PeerCertificates[0].PublicKey)
}

// verifyKey returns ErrUntrustedPeer unless the public key is one of the trusted keys.
func (k *MeshKey) verifyKey(public crypto.PublicKey) error {
	key, ok := public.(ed25519.PublicKey)
	if !ok {
		return ErrUntrustedPeer
	}
	for _, trusted := range k.trusted {
		if trusted.Equal(key) {
			return nil
		}
	}
	return ErrUntrustedPeer
}

// derive returns a 32-byte key that is derived from the secret for one purpose.
func derive(secret, purpose string) []byte {
	h := hmac.New(sha256.New, []byte(secret))
	h.Write([]byte("berylpass-mesh-" + purpose))
	return h.Sum(nil)
}

// selfSign returns a self-signed certificate for the key.
func selfSign(private ed25519.PrivateKey) (tls.Certificate, error) {
	notBefore := time.Unix(0, 0)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: "berylpass"},
		NotBefore:    notBefore,
		NotAfter:     notBefore.Add(10 * decade),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, private.Public(), private)
	if err != nil {
		return tls.Certificate{}, err
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}, nil
}
