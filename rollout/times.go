package rollout

import (
	"math"
	"time"
)

// Buckets is the number of buckets of a histogram of times.
const Buckets = 160

const (
	// bucketsPerDoubling is the number of buckets of a histogram of times in which these
	// double; shortest is the upper bound of the first bucket. The last one begins at four
	// minutes.
	bucketsPerDoubling = 8
	shortest           = 250 * time.Microsecond
	bucketCount        = Buckets
	// marginBuckets is the factor by which the answers of a new version may take longer
	// than those of the old one, in buckets: 2. Answers of a bad version are several times
	// slower.
	marginBuckets = bucketsPerDoubling
)

// bucketOf returns the bucket of a time.
func bucketOf(duration time.Duration) int {
	if duration <= shortest {
		return 0
	}
	bucket := int(bucketsPerDoubling * math.Log2(float64(duration)/float64(shortest)))
	return min(bucket, bucketCount-1)
}

// upperBound returns the time below which all times of a bucket are.
func upperBound(bucket int) time.Duration {
	return time.Duration(float64(shortest) * math.Exp2(float64(bucket+1)/bucketsPerDoubling))
}

// histogram counts times by bucket.
type histogram [bucketCount]uint32

// total returns the number of times.
func (histogram *histogram) total() int {
	total := 0
	for _, count := range histogram {
		total += int(count)
	}
	return total
}

// atLeast returns the number of times in a bucket or a later one.
func (histogram *histogram) atLeast(bucket int) int {
	count := 0
	for _, times := range histogram[min(max(0, bucket), bucketCount):] {
		count += int(times)
	}
	return count
}

// quantile returns the first bucket up to which the histogram has the fraction of all times.
func (histogram *histogram) quantile(fraction float64) int {
	needed := fraction * float64(histogram.total())
	seen := 0.0
	for bucket, count := range histogram {
		if seen += float64(count); seen >= needed && count > 0 {
			return bucket
		}
	}
	return bucketCount - 1
}

// add adds the counts of another histogram.
func (histogram *histogram) add(other *histogram) {
	for bucket, count := range other {
		histogram[bucket] += count
	}
}
