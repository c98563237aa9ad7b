//go:build !race

package daemon_test

// largeUploadSize is the size of a large upload in bytes. A daemon doesn't hold 100
// uploads of this size at once.
const largeUploadSize = 2 << 20
