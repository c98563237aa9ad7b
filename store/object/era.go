package object

// A store that comes back from an older copy of its content begins a new era: what it had
// acknowledged since the copy is gone, and it gives out the same revisions again. So a
// Version holds the era above the store's revision. Versions of a later era are higher than
// all of an earlier one, and two different contents never have the same version. A store
// without eras is in era 0, where the version is the revision.

const (
	// revisionBits is the number of bits of a version that hold the store's revision: at ten
	// thousand changes a second they last for 55 years.
	revisionBits = 44
	// MaxEra is the highest era that a version holds.
	MaxEra = 1<<(64-revisionBits) - 1
	// MaxRevision is the highest revision of a store with eras.
	MaxRevision = 1<<revisionBits - 1
)

// VersionIn returns the version that stands for the store's revision in an era. The revision
// 0 stands for no version in every era.
func VersionIn(era, revision uint64) uint64 {
	if revision == 0 {
		return 0
	}
	return era<<revisionBits | revision
}

// EraOf returns the era of a version.
func EraOf(version uint64) uint64 { return version >> revisionBits }

// RevisionOf returns the store's revision that a version stands for.
func RevisionOf(version uint64) uint64 {
	if EraOf(version) == 0 {
		return version
	}
	return version & MaxRevision
}
