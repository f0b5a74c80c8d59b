package confspread

import (
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"hemlockmast/api/service"
)

// BenchmarkConfiguration measures a whole configuration, as it is sent to a
// daemon that has none: encoded bytes and heap bytes for each group with its
// three services, and the time to decode it.
//
//	go test -run '^$' -bench 'Configuration$' -benchtime 20x ./internal/configuration/confspread
func BenchmarkConfiguration(b *testing.B) {
	for _, groups := range []int{3, 30, 133, 533, 1600} {
		b.Run(fmt.Sprintf("groups=%d", groups), func(b *testing.B) {
			data, err := proto.Marshal(benchConfiguration(groups, 0))
			assert.NilError(b, err)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			kept := &service.Configuration{}
			assert.NilError(b, proto.Unmarshal(data, kept))
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				assert.NilError(b, proto.Unmarshal(data, &service.Configuration{}))
			}
			b.ReportMetric(float64(len(data))/float64(groups), "B/group")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(groups), "B-heap/group")
			assert.Equal(b, len(kept.Groups), groups)
		})
	}
}
