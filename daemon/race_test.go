//go:build race

package daemon_test

// largeUploadSize is the size of a large upload in bytes. It is smaller under the race
// detector, with which copying memory takes about ten times as long.
const largeUploadSize = 128 << 10
