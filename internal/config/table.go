package config

import (
	"cmp"
	"hash/fnv"
	"iter"
	"maps"
	"slices"
	"strings"
)

// Table is an immutable map from names to values. A tableBuilder derives the next Table from one and
// shares all unchanged shards with it. The zero Table is empty.
//
// Invariants: the shard count depends only on the number of rows; a row is in the shard that its name's
// hash selects, and the rows of a shard are sorted by name. So two Tables of the same rows are equal,
// however they were built, and are iterated in the same order.
type Table[V any] struct {
	shards [][]row[V]
	size   int
}

// row is one entry of a table.
type row[V any] struct {
	name  string
	value V
}

// rowsPerShard is the lower end of the average shard size: the shard count doubles above twice this.
const rowsPerShard = 64

// TableOf returns a table with the entries of a map.
func TableOf[V any](rows map[string]V) Table[V] {
	c := Table[V]{}.builder()
	for _, name := range slices.Sorted(maps.Keys(rows)) {
		c.set(name, rows[name])
	}
	return c.build()
}

// Len returns the number of names.
func (t Table[V]) Len() int { return t.size }

// Get returns the value of a name, and whether the name exists.
func (t Table[V]) Get(name string) (V, bool) {
	if t.size > 0 {
		shard := t.shards[shardOf(name, len(t.shards))]
		if at, isFound := findRow(shard, name); isFound {
			return shard[at].value, true
		}
	}
	var none V
	return none, false
}

// All iterates over all names and values, always in the same order.
func (t Table[V]) All() iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		for _, shard := range t.shards {
			for _, r := range shard {
				if !yield(r.name, r.value) {
					return
				}
			}
		}
	}
}

// Names returns all names, sorted.
func (t Table[V]) Names() []string {
	out := make([]string, 0, t.size)
	for name := range t.All() {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// findRow returns the index of a name in a shard, or where to insert it, and whether it exists.
func findRow[V any](shard []row[V], name string) (int, bool) {
	return slices.BinarySearchFunc(shard, name, func(r row[V], name string) int { return cmp.Compare(r.name, name) })
}

// shardOf returns the index of a name's shard among count shards.
func shardOf(name string, count int) int {
	if count == 1 {
		return 0
	}
	h := fnv.New32a()
	h.Write([]byte(name))
	return int(h.Sum32() % uint32(count))
}

// shardCount returns the shard count of a table of so many rows: a power of two, 0 for no rows.
func shardCount(size int) int {
	if size == 0 {
		return 0
	}
	count := 1
	for size > count*rowsPerShard*2 {
		count *= 2
	}
	return count
}

// tableBuilder derives a new Table from an existing one. Each shard is copied before its first write.
type tableBuilder[V any] struct {
	shards   [][]row[V]
	isCloned []bool // by shard
	size     int
}

// builder returns a builder that starts with the entries of the table.
func (t Table[V]) builder() *tableBuilder[V] {
	return &tableBuilder[V]{shards: slices.Clone(t.shards), isCloned: make([]bool, len(t.shards)), size: t.size}
}

func (c *tableBuilder[V]) set(name string, value V) {
	if shardCount(c.size+1) > len(c.shards) {
		c.reshard(shardCount(c.size + 1))
	}
	number := shardOf(name, len(c.shards))
	at, isFound := findRow(c.writableShard(number), name)
	if isFound {
		c.shards[number][at].value = value
		return
	}
	c.shards[number] = slices.Insert(c.shards[number], at, row[V]{name, value})
	c.size++
}

func (c *tableBuilder[V]) remove(name string) {
	if c.size == 0 {
		return
	}
	number := shardOf(name, len(c.shards))
	if at, isFound := findRow(c.shards[number], name); isFound {
		c.shards[number] = slices.Delete(c.writableShard(number), at, at+1)
		c.size--
	}
}

// writableShard returns a shard that may be written: a copy of the old one, made at the first call.
func (c *tableBuilder[V]) writableShard(number int) []row[V] {
	if !c.isCloned[number] {
		c.shards[number] = slices.Clone(c.shards[number])
		c.isCloned[number] = true
	}
	return c.shards[number]
}

// reshard distributes the rows over count shards.
func (c *tableBuilder[V]) reshard(count int) {
	next := make([][]row[V], count)
	for _, shard := range c.shards {
		for _, r := range shard {
			number := shardOf(r.name, count)
			next[number] = append(next[number], r)
		}
	}
	for _, shard := range next {
		slices.SortFunc(shard, func(a, b row[V]) int { return strings.Compare(a.name, b.name) })
	}
	c.shards, c.isCloned = next, slices.Repeat([]bool{true}, count)
}

// build returns the table. The builder must not be used after that.
func (c *tableBuilder[V]) build() Table[V] {
	if count := shardCount(c.size); count != len(c.shards) {
		c.reshard(count)
	}
	for number, shard := range c.shards {
		if len(shard) == 0 {
			c.shards[number] = nil
		}
	}
	if c.size == 0 {
		return Table[V]{}
	}
	return Table[V]{shards: c.shards, size: c.size}
}
