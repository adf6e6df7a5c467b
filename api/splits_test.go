package api

import (
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

// Guards against keys that belong to no partition or to two after ranges have been divided.
func TestSplitRangesCoverEachKeyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &Service{Key: &KeySource{Header: "K", Span: rapid.IntRange(1, 3000).Draw(t, "span")}}
		s.Partitions = rapid.IntRange(1, s.Key.Span).Draw(t, "partitions")
		for range rapid.IntRange(0, 5).Draw(t, "splits") {
			base := rapid.IntRange(0, s.Partitions-1).Draw(t, "base")
			if width := s.Range(base).Len(); width > 1 && !s.IsSplit(base) {
				s.Splits = s.WithSplit(RangeSplit{Base: base, First: s.Count(), Parts: rapid.IntRange(2, width).Draw(t, "parts")})
			}
		}
		next := 0
		s.InKeyOrder(func(p int) {
			r := s.Range(p)
			if r.First != next || r.Len() < 1 {
				t.Fatalf("partition %d has keys %v after %d", p, r, next)
			}
			next = r.Last + 1
			for key := r.First; key <= r.Last; key++ {
				if got := s.PartitionOf(strconv.Itoa(key)); got != p {
					t.Fatalf("key %d is in partition %d, not %d", key, got, p)
				}
			}
		})
		if next != s.Key.Span {
			t.Fatalf("keys end at %d of %d", next, s.Key.Span)
		}
	})
}
