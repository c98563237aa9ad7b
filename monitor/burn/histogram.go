package burn

import (
	"math"
	"time"
)

// A histogram has four buckets for each doubling of the latency. The first holds
// latencies up to shortestLatency, and the last those above about 46 s.
const (
	shortestLatency    = time.Millisecond
	bucketsPerDoubling = 4
	histogramBuckets   = 64
)

// histogram counts answered requests by latency.
type histogram [histogramBuckets]uint32

func (h *histogram) add(latency time.Duration) {
	h[bucketOf(latency)]++
}

// bucketOf returns the index of the bucket that counts the latency.
func bucketOf(latency time.Duration) int {
	if latency <= shortestLatency {
		return 0
	}
	n := math.Ceil(bucketsPerDoubling * math.Log2(float64(latency)/float64(shortestLatency)))
	return min(int(n), histogramBuckets-1)
}

// BucketUpperBound returns the upper bound, inclusive, of a bucket of Route.Latency. The
// last bucket has none: it also counts all longer latencies.
func BucketUpperBound(bucket int) time.Duration {
	return time.Duration(float64(shortestLatency) * math.Exp2(float64(bucket)/bucketsPerDoubling))
}
