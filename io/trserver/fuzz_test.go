package trserver

import (
	"testing"

	"tanagerrock/core/trmember"
	"tanagerrock/io/trsettings"
)

// Guards against panics on malformed documents of peers, sender tables and settings
// files.
func FuzzDecoders(f *testing.F) {
	f.Add([]byte(`{"InstanceID":"a","Zone":"z","CallerAddr":"127.0.0.1:1","PeerAddr":"127.0.0.1:2","Platform":["http://x"]}`))
	f.Add([]byte(`{"Revision":1,"Instances":[{"ID":"i","Role":"Leaf","Zone":"a","Addr":"x","State":"Live"}]}`))
	f.Add([]byte(`{"Entries":[{"Index":0,"InstanceID":"a","Epoch":1}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		trsettings.Parse(data, defaultSettings())
		_, _ = decodeChanges(data)
		_, _ = new(listDecoder).decode(data)
		if table, err := trmember.DecodeSenderTable(data, 1); err == nil {
			table.Home("request-1")
			table.Settled()
		}
	})
}
