package trgateway_test

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	"tanagerrock/core/trgateway"
)

// FuzzMergeTop guards against merged records that are out of order, that no part
// contains, or that are too many, whatever the parts contain.
func FuzzMergeTop(f *testing.F) {
	f.Add([]byte("0123456789abcdef0123456789abcdef"), []byte("fedcba9876543210"), 3)
	f.Add([]byte("short"), []byte{}, 5)
	f.Add(bytes.Repeat([]byte{0xff}, 50), bytes.Repeat([]byte{0}, 33), 0)
	f.Add([]byte("0123456789abcdef"), []byte("0123456789abcdef"), -1)
	f.Fuzz(func(t *testing.T, a, b []byte, top int) {
		merged := trgateway.MergeTop([][]byte{a, nil, b}, top)
		const size = trgateway.RecordBytes
		want := min(len(a)/size+len(b)/size, max(top, 0))
		assert.Equal(t, len(merged), want*size)
		remaining := append(splitRecords(a), splitRecords(b)...)
		for i := 0; i < len(merged); i += size {
			record := merged[i : i+size]
			if i > 0 {
				assert.Assert(t, bytes.Compare(merged[i-size:i], record) >= 0)
			}
			found := false
			for j, r := range remaining {
				if bytes.Equal(r, record) {
					remaining = append(remaining[:j], remaining[j+1:]...)
					found = true
					break
				}
			}
			assert.Assert(t, found, "record %x is in no part", record)
		}
		for _, r := range remaining {
			if len(merged) > 0 {
				assert.Assert(t, bytes.Compare(merged[len(merged)-size:], r) >= 0, "record %x was left out", r)
			}
		}
	})
}

func splitRecords(body []byte) [][]byte {
	var records [][]byte
	for ; len(body) >= trgateway.RecordBytes; body = body[trgateway.RecordBytes:] {
		records = append(records, body[:trgateway.RecordBytes])
	}
	return records
}
