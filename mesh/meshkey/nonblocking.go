package meshkey

import (
	"crypto/x509"

	nbtls "github.com/lesismal/llib/std/crypto/tls"
)

// NonBlockingServerTLS is ServerTLS for nbio's event loops, which need a TLS
// implementation that never blocks on the connection.
func (k *MeshKey) NonBlockingServerTLS() *nbtls.Config {
	return &nbtls.Config{
		Certificates: []nbtls.Certificate{{
			Certificate: k.certificate.Certificate,
			PrivateKey:  k.certificate.PrivateKey,
		}},
		MinVersion:            nbtls.VersionTLS13,
		ClientAuth:            nbtls.RequireAnyClientCert,
		VerifyPeerCertificate: k.verifyRaw,
	}
}

func (k *MeshKey) verifyRaw(raw [][]byte, _ [][]*x509.Certificate) error {
	if len(raw) == 0 {
		return ErrPeer
	}
	certificate, err := x509.ParseCertificate(raw[0])
	if err != nil {
		return ErrPeer
	}
	return k.verifyKey(certificate.PublicKey)
}
