// Package object defines the objects that the platform's store keeps and the errors
// that its clients return.
//
// Users of a store declare an interface with those of these methods that they need:
//
//	Get(ctx context.Context, key string) (object.Object, error)
//	List(ctx context.Context, prefix string) ([]object.Object, error)
//	Put(ctx context.Context, key string, value []byte, ifVersion uint64) (object.Object, error)
//	Delete(ctx context.Context, key string, ifVersion uint64) error
//	Watch(ctx context.Context, prefix string, after uint64) ([]object.Object, uint64, error)
//
// Put writes only if the key's current version is ifVersion, 0 for a key that must
// not exist. Delete has the same condition. Watch waits until an object under the
// prefix has a version above after, or a time limit of the server passes. It returns
// the changed objects (deleted ones with Deleted set) and the store's version as of
// which they are complete; a version below after means that the store was restored
// from a backup, and one of another era (EraOf) that it goes on from an older copy. In both
// cases the objects are all that it holds. Each change in the store takes the next version.
//
// # Usage
//
//	o, err := store.Put(ctx, "members/vm-17", value, 0)
//	if errors.Is(err, object.ErrConflict) { ... }
package object

import "errors"

// MaxValue is the size of the largest value in bytes. The platform's store allows 1 MiB
// for an object, and base64 makes a value a third larger, to which metadata are added.
const MaxValue = 700 << 10

var (
	// ErrNotFound reports a key without an object.
	ErrNotFound = errors.New("object not found")
	// ErrConflict reports a conditional write whose version is not the key's current one.
	ErrConflict = errors.New("object has another version")
	// ErrUnavailable reports a failed call that has certainly not taken effect.
	ErrUnavailable = errors.New("object store is unavailable")
	// ErrUnknown reports a write that may have taken effect.
	ErrUnknown = errors.New("outcome of the write is unknown")
	// ErrTooLarge reports a value that is larger than the store allows.
	ErrTooLarge = errors.New("object value is too large")
)

// Object is one object of the store.
type Object struct {
	Key string
	// Version is the store's version at the object's last change; see VersionIn.
	Version uint64
	Value   []byte
	// Deleted is set only on results of Watch: the object was deleted at Version.
	Deleted bool
}
