package meshkey

import (
	"crypto/x509"

	nbtls "github.com/lesismal/llib/std/crypto/tls"
)

// NonBlockingServerTLS returns the configuration of ServerTLS for nbio's event loops, which
// need a TLS implementation that never blocks on the connection.
func (k *MeshKey) NonBlockingServerTLS() *nbtls.Config {
	c := &nbtls.Config{
		Certificates: []nbtls.Certificate{{
			Certificate: k.certificate.Certificate,
			PrivateKey:  k.certificate.PrivateKey,
		}},
		MinVersion:            nbtls.VersionTLS13,
		ClientAuth:            nbtls.RequireAnyClientCert,
		VerifyPeerCertificate: k.verifyRawCertificates,
	}
	c.SetSessionTicketKeys(k.ticketKeys(dataTickets))
	return c
}

// verifyRawCertificates checks the first of a peer's certificates, which are in DER form.
func (k *MeshKey) verifyRawCertificates(rawCertificates [][]byte, _ [][]*x509.Certificate) error {
	if len(rawCertificates) == 0 {
		return ErrUntrustedPeer
	}
	certificate, err := x509.ParseCertificate(rawCertificates[0])
	if err != nil {
		return ErrUntrustedPeer
	}
	return k.verifyKey(certificate.PublicKey)
}
