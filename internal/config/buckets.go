package config

import (
	"hash/fnv"
	"strconv"
	"strings"
)

// The worker list of a pool is one key while it is short. A longer one is split into buckets by a hash
// of the workers' names, so that a change of one worker is written and sent as a change of its
// bucket, not of the whole list. If a worker is in two keys, as happens while the bucket count
// changes, the newer key counts.

const (
	workersPerBucket = 128 // workers per bucket that the bucket count aims at
	bucketHysteresis = 4   // the count stays while a list is less than so many times too short or too long for it
	maxBuckets       = 1 << 14
)

// BucketCount returns into how many buckets a list of so many workers is split, always a power of two.
// current is its present count, 0 for a new list.
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

// BucketOf returns the index of a worker's bucket among count buckets.
func BucketOf(worker string, count int) int {
	h := fnv.New32a()
	h.Write([]byte(worker))
	return int(h.Sum32() % uint32(count))
}

// BucketKey returns the key of one of count buckets of a pool's list.
func BucketKey(pool string, bucket, count int) string {
	if count == 1 {
		return WorkersKey + pool
	}
	return WorkersKey + pool + "/" + strconv.Itoa(count) + "." + strconv.Itoa(bucket)
}

// ParseListKey returns the pool that a list's key belongs to, and the bucket count that the key implies.
func ParseListKey(key string) (pool string, count int) {
	pool, bucket, isBucketed := strings.Cut(strings.TrimPrefix(key, WorkersKey), "/")
	if !isBucketed {
		return pool, 1
	}
	text, _, _ := strings.Cut(bucket, ".")
	count, err := strconv.Atoi(text)
	if err != nil || count < 1 {
		return pool, 1
	}
	return pool, count
}
