package place

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkBacklog measures a place that holds messages of 256 bytes: the bytes of each in memory and in a snapshot,
// and the time to make and to restore a snapshot.
func BenchmarkBacklog(b *testing.B) {
	for _, count := range []int{1000, 100_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			before := liveBytes()
			m := New()
			for i := range count {
				m.Apply(Command{Kind: CmdTake, At: int64(i), Id: fmt.Sprintf("17-%024d", i), Lane: "parked", Deadline: 86_400_000,
					Body: make([]byte, 256), Checksum: fmt.Sprintf("%064d", i), ContentType: "application/octet-stream"})
			}
			held := liveBytes() - before
			var snapshot []byte
			made, read := time.Duration(0), time.Duration(0)
			for b.Loop() {
				began := time.Now()
				snapshot = m.Snapshot()
				made += time.Since(began)
				began = time.Now()
				if _, err := Restore(snapshot); err != nil {
					b.Fatal(err)
				}
				read += time.Since(began)
			}
			n := float64(count)
			b.ReportMetric(held/n, "B-held/message")
			b.ReportMetric(float64(len(snapshot))/n, "B-image/message")
			b.ReportMetric(float64(made.Nanoseconds())/float64(b.N)/n, "ns-image/message")
			b.ReportMetric(float64(read.Nanoseconds())/float64(b.N)/n, "ns-restore/message")
			runtime.KeepAlive(m)
		})
	}
}

// liveBytes returns the bytes of live heap objects after a garbage collection.
func liveBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
