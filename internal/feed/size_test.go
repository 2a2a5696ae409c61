package feed

import (
	"fmt"
	"testing"

	"caperwheel/internal/wire"
)

// BenchmarkNews measures an answer to a follower that lacks one change, by the number of keys.
func BenchmarkNews(b *testing.B) {
	for _, count := range []int{1000, 100_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			p := NewPart()
			for i := range count {
				p.Apply(wire.Edit{Key: fmt.Sprint(i), Value: []byte("x"), IfRevision: -1})
			}
			for b.Loop() {
				p.News(0, p.Revision()-1)
			}
		})
	}
}
