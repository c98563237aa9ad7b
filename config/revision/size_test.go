package revision

import (
	"context"
	"fmt"
	"testing"

	"berylpass/config/datacentre"
	"berylpass/config/key"
	"berylpass/config/manifest"
	"berylpass/config/organisation"
	"berylpass/config/route"
	"berylpass/config/service"
	"berylpass/config/signature"
	"berylpass/config/snapshot"
)

// BenchmarkOpen measures assembling a revision whose chunks are all held. It reports the
// sizes in bytes of the manifest, the largest chunk and all chunks: a change of one
// organisation transfers the manifest and one chunk.
func BenchmarkOpen(b *testing.B) {
	for _, size := range []struct{ organisations, routes int }{{1400, 250}, {5600, 1000}, {14000, 2500}} {
		b.Run(fmt.Sprintf("organisations=%d/routes=%d", size.organisations, size.routes), func(b *testing.B) {
			m, chunks, err := manifest.New(configuration(size.organisations, size.routes), manifest.Digest{}, nil)
			if err != nil {
				b.Fatal(err)
			}
			held, total, largest := map[[32]byte][]byte{}, 0, 0
			for _, c := range chunks {
				held[c.Digest()] = c.Value
				total += len(c.Value)
				largest = max(largest, len(c.Value))
			}
			fetch := func(_ context.Context, digest [32]byte) ([]byte, error) { return held[digest], nil }
			b.ResetTimer()
			for range b.N {
				if _, err := signature.Assemble(context.Background(), m, fetch); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(m.Encode())), "manifest-B")
			b.ReportMetric(float64(largest), "chunk-B")
			b.ReportMetric(float64(total), "all-chunks-B")
		})
	}
}

// TestSmallChangeTransfersFewBytes checks that a change of one organisation transfers few
// bytes to a daemon that holds the previous revision.
func TestSmallChangeTransfersFewBytes(t *testing.T) {
	before := configuration(14000, 2500)
	changed := before.Organisations["organisation-00007"].WithoutKey("first")
	first, second := unsignedRevision(t, before), unsignedRevision(t, before.WithRevision(2).WithOrganisation(changed))
	f := &Follower{previous: first}
	f.applied.Store(second)
	var document Document
	_ = f.Receiver().Manifest(Request{Held: first.digest()}, &document)
	transferred := len(document.Packed)
	if got, err := unpack(document.Packed, first.signedManifest); err != nil || string(got) != string(second.signedManifest) {
		t.Fatalf("unpacked manifest differs, or unpack failed: %v", err)
	}
	for digest, want := range second.chunks {
		if _, held := first.chunks[digest]; held {
			continue
		}
		var reply Chunk
		_ = f.Receiver().Chunk(Request{Chunk: digest, Held: first.digest()}, &reply)
		transferred += len(reply.Packed)
		dictionary, err := first.dictionary(reply.Dictionary)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := unpack(reply.Packed, dictionary); err != nil || string(got) != string(want) {
			t.Fatalf("unpacked chunk differs, or unpack failed: %v", err)
		}
	}
	t.Logf("%d bytes transferred for a manifest of %d bytes", transferred, len(second.signedManifest))
	if transferred > 2000 {
		t.Errorf("%d bytes transferred, want at most 2000", transferred)
	}
}

// unsignedRevision returns a revision as a daemon holds it, but without signatures.
func unsignedRevision(t *testing.T, s snapshot.Snapshot) *verifiedRevision {
	t.Helper()
	m, chunks, err := manifest.New(s, manifest.Digest{}, nil)
	if err != nil {
		t.Fatal(err)
	}
	r := &verifiedRevision{snapshot: s, signedManifest: m.Encode(), chunks: map[[32]byte][]byte{}}
	for _, c := range chunks {
		r.chunks[c.Digest()] = c.Value
	}
	return r
}

// FuzzUnpack checks that unpack bounds the size of the value.
func FuzzUnpack(f *testing.F) {
	f.Add(pack([]byte("a manifest"), []byte("manifest")), []byte("manifest"))
	f.Fuzz(func(t *testing.T, packed, dictionary []byte) {
		if value, err := unpack(packed, dictionary); err == nil && len(value) > 1<<20 {
			t.Errorf("unpacked %d bytes, want at most 1 MiB", len(value))
		}
	})
}

// configuration returns a snapshot with the given numbers of organisations and routes.
func configuration(organisations, routes int) snapshot.Snapshot {
	s := snapshot.New(1)
	s.Datacentres["srem"] = datacentre.New("srem", "wielkopolska")
	for i := range 140 {
		name := fmt.Sprintf("service-%03d", i)
		s.Services[name] = service.New(name)
	}
	for i := range routes {
		name := fmt.Sprintf("route-%05d", i)
		s.Routes[name] = route.New(name, fmt.Sprintf("service-%03d", i%140)).WithMatch("", "/"+name, "GET")
	}
	for i := range organisations {
		name := fmt.Sprintf("organisation-%05d", i)
		s.Organisations[name] = organisation.New(name).WithLimit(20, 40).WithKey(key.New("first", key.DigestOf(name)))
	}
	return s.Index()
}
