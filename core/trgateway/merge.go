package trgateway

import (
	"bytes"
	"slices"
)

// RecordBytes is the size of a record in a reply that is merged.
const RecordBytes = 16

// MergeTop returns the top greatest records of all parts in descending order.
// Duplicates are kept. Records are compared byte by byte. An incomplete record at
// the end of a part is ignored.
func MergeTop(parts [][]byte, top int) []byte {
	var records [][]byte
	for _, body := range parts {
		for ; len(body) >= RecordBytes; body = body[RecordBytes:] {
			records = append(records, body[:RecordBytes])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	records = records[:min(len(records), max(top, 0))]
	return bytes.Join(records, nil)
}
