package exchange

import (
	"testing"

	"github.com/corianderbay/corianderbay/membership"
)

// BenchmarkDecodeHeartbeat decodes a recorded heartbeat of version 2.
func BenchmarkDecodeHeartbeat(b *testing.B) {
	for name, raw := range recorded(b, recorded2) {
		if kind(raw[0]) != kindHeartbeat2 {
			continue
		}
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				var m membership.Heartbeat
				if err := decodeMessage(raw[1:], &m, membership.Format2); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
