package trpeer

import (
	"bytes"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"google.golang.org/grpc/encoding"

	"tanagerrock/core/trwire"
)

// codec encodes messages as msgpack with the field names of their JSON tags and checks
// the messages that it decodes. It skips unknown fields, so that instances of different
// releases can communicate.
type codec struct{}

var _ encoding.Codec = codec{}

func (codec) Name() string { return "msgpack" }

func (codec) Marshal(v any) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(&buf)
	enc.SetCustomStructTag("json")
	enc.UseCompactInts(true)
	enc.UseCompactFloats(true)
	if err := enc.Encode(v); err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	return buf.Bytes(), nil
}

func (codec) Unmarshal(data []byte, v any) error {
	r := bytes.NewReader(data)
	dec := msgpack.GetDecoder()
	defer msgpack.PutDecoder(dec)
	dec.Reset(r)
	dec.SetCustomStructTag("json")
	if err := dec.Decode(v); err != nil {
		return errors.Wrap(err, "decode message")
	}
	if r.Len() > 0 {
		return errors.Errorf("message is followed by %d extra bytes", r.Len())
	}
	if c, ok := v.(trwire.Checker); ok {
		return c.Check()
	}
	return nil
}
