package trdirectory

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// MaxDirectoryBytes limits the size of a decompressed Directory. A configuration
	// of several thousand routes takes about 2 MB.
	MaxDirectoryBytes = 16 << 20
	// minCompressedBytes is the size from which a value is compressed. A compressor takes
	// a megabyte of memory, which does not pay for the change of a few upstreams.
	minCompressedBytes = 2 << 10
)

// gzipMagic is the beginning of gzip data. Other values are not compressed: no msgpack map
// begins like this.
var gzipMagic = []byte{0x1f, 0x8b}

// encode returns v as msgpack with the field names of its JSON form, compressed with gzip
// if it is large. An instance with a fifth of a core decodes directories several times a
// second while upstreams register and leave; decoding JSON would take three times as long.
func encode(v any) ([]byte, error) {
	var plain, packed bytes.Buffer
	enc := msgpack.NewEncoder(&plain)
	enc.SetCustomStructTag("json")
	if err := enc.Encode(v); err != nil {
		return nil, errors.Wrapf(err, "encode %T", v)
	}
	if plain.Len() < minCompressedBytes {
		return plain.Bytes(), nil
	}
	zw, err := gzip.NewWriterLevel(&packed, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := zw.Write(plain.Bytes()); err != nil {
		return nil, errors.Wrapf(err, "compress %T", v)
	}
	if err := zw.Close(); err != nil {
		return nil, errors.Wrapf(err, "compress %T", v)
	}
	return packed.Bytes(), nil
}

// decode decodes data that was encoded by encode into v.
func decode(data []byte, v any) error {
	if bytes.HasPrefix(data, gzipMagic) {
		zr, err := gzip.NewReader(bytes.NewReader(data))
		if err != nil {
			return errors.Wrapf(err, "decompress %T", v)
		}
		if data, err = io.ReadAll(io.LimitReader(zr, MaxDirectoryBytes+1)); err != nil {
			return errors.Wrapf(err, "decompress %T", v)
		}
	}
	if len(data) > MaxDirectoryBytes {
		return errors.Errorf("%T exceeds %d bytes", v, MaxDirectoryBytes)
	}
	dec := msgpack.NewDecoder(bytes.NewReader(data))
	dec.SetCustomStructTag("json")
	return errors.Wrapf(dec.Decode(v), "decode %T", v)
}
