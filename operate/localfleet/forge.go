package localfleet

import (
	"context"
	"crypto/ed25519"

	"berylpass/config/archive"
	"berylpass/config/manifest"
	"berylpass/config/signature"
	"berylpass/config/snapshot"
	"berylpass/platform/client"
)

// PublishForged publishes a snapshot signed by one owner and by a stranger, whose key the
// daemons don't trust. An attacker with one owner's key and write access to the
// platform could do the same; daemons must refuse the revision.
func (f *LocalFleet) PublishForged(ctx context.Context, s snapshot.Snapshot, owner string, stranger ed25519.PrivateKey) error {
	const name = "stranger"
	trusted := map[string]ed25519.PublicKey{name: stranger.Public().(ed25519.PublicKey)}
	for known, private := range f.owners {
		trusted[known] = private.Public().(ed25519.PublicKey)
	}
	store := client.New("http://"+f.platform.Address(), client.WithTimeout(storeTimeout))
	forger := archive.New(store, signature.NewVerifier(trusted))
	head, err := forger.Head(ctx)
	if err != nil {
		return err
	}
	m, chunks, err := manifest.New(s, head.Base(), nil)
	if err != nil {
		return err
	}
	envelope := signature.NewEnvelope(m.Encode()).
		With(signature.Sign(owner, f.owners[owner], m.Digest())).
		With(signature.Sign(name, stranger, m.Digest()))
	return forger.Publish(ctx, head, archive.Publication{Envelope: envelope, Chunks: chunks})
}
