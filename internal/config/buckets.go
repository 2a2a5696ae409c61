package config

import (
	"hash/fnv"
	"strconv"
	"strings"
)

// A pool's live list is one key while it is short. A longer one is cut into buckets by a hash of
// the workers' names, so that a change of one worker is written and told as a change of its
// bucket, not of the whole list. Where a worker stands in two keys, as while the number of
// buckets changes, the newer key holds.

const (
	workersPerBucket = 128 // of a bucket that is just full enough
	bucketHysteresis = 4   // so many times fewer or more, and the number of buckets stays
	maxBuckets       = 1 << 14
)

// BucketCount returns into how many buckets a list of so many workers is cut, where now is into how
// many it is cut now, 0 for not yet. It is a power of two.
func BucketCount(workers, current int) int {
	if current > 1 && workers*bucketHysteresis > current*workersPerBucket && workers < current*workersPerBucket*bucketHysteresis {
		return current
	}
	count := 1
	for count < maxBuckets && workers > count*workersPerBucket {
		count *= 2
	}
	return count
}

// BucketOf returns the bucket of a worker among so many.
func BucketOf(worker string, count int) int {
	h := fnv.New32a()
	h.Write([]byte(worker))
	return int(h.Sum32() % uint32(count))
}

// BucketKey returns the key of one of so many buckets of a pool's list.
func BucketKey(pool string, bucket, count int) string {
	if count == 1 {
		return WorkersKey + pool
	}
	return WorkersKey + pool + "/" + strconv.Itoa(count) + "." + strconv.Itoa(bucket)
}

// ParseListKey returns the pool of a list's key, and into how many buckets its list is cut there.
func ParseListKey(key string) (pool string, count int) {
	pool, bucket, isCut := strings.Cut(strings.TrimPrefix(key, WorkersKey), "/")
	if !isCut {
		return pool, 1
	}
	text, _, _ := strings.Cut(bucket, ".")
	count, err := strconv.Atoi(text)
	if err != nil || count < 1 {
		return pool, 1
	}
	return pool, count
}
