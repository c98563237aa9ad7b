package revision

import (
	"bytes"
	"compress/flate"
	"crypto/sha256"
	"errors"
	"io"
	"slices"

	"berylpass/store/object"
)

// maxDictionary is the size in bytes of flate's window: from a longer dictionary, only the
// last bytes would be used.
const maxDictionary = 32 << 10

// errUnpackable reports packed bytes that are malformed or too large, or whose dictionary
// this daemon doesn't hold.
var errUnpackable = errors.New("packed configuration can't be unpacked")

// pack compresses a value with flate. Parts that the value shares with the dictionary,
// which the receiver must hold, take almost no bytes.
func pack(value, dictionary []byte) []byte {
	var packed bytes.Buffer
	w, err := flate.NewWriterDict(&packed, flate.DefaultCompression, dictionary)
	if err != nil {
		// NewWriterDict fails only for an invalid compression level.
		panic(err)
	}
	_, _ = w.Write(value)
	_ = w.Close()
	return packed.Bytes()
}

// unpack returns the value that pack compressed with the same dictionary. Its error is
// errUnpackable, also for a value over object.MaxValue.
func unpack(packed, dictionary []byte) ([]byte, error) {
	r := flate.NewReaderDict(bytes.NewReader(packed), dictionary)
	value, err := io.ReadAll(io.LimitReader(r, object.MaxValue+1))
	if err != nil || len(value) > object.MaxValue {
		return nil, errUnpackable
	}
	return value, nil
}

// digest returns the SHA-256 digest of the signed manifest, which identifies the revision.
func (r *verifiedRevision) digest() [32]byte { return sha256.Sum256(r.signedManifest) }

// dropped returns the digests of the chunks that r has and next lacks, in order, as many
// as fit into a dictionary.
func (r *verifiedRevision) dropped(next *verifiedRevision) [][32]byte {
	var digests [][32]byte
	for d := range r.chunks {
		if _, kept := next.chunks[d]; !kept {
			digests = append(digests, d)
		}
	}
	slices.SortFunc(digests, func(a, b [32]byte) int { return bytes.Compare(a[:], b[:]) })
	size := 0
	for i, d := range digests {
		if size += len(r.chunks[d]); size > maxDictionary {
			return digests[:i]
		}
	}
	return digests
}

// dictionary returns the named chunks joined. Its error is errUnpackable if r lacks one of
// them or they are longer than maxDictionary.
func (r *verifiedRevision) dictionary(digests [][32]byte) ([]byte, error) {
	var joined []byte
	for _, d := range digests {
		chunk, held := r.chunks[d]
		if !held || len(joined)+len(chunk) > maxDictionary {
			return nil, errUnpackable
		}
		joined = append(joined, chunk...)
	}
	return joined, nil
}
