package wire

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Limits of the decoder. A frame that exceeds them comes from a faulty or hostile peer, and
// must neither exhaust memory nor crash the process.
const (
	MaxFrame       = 8 << 20 // bytes in a frame
	maxElements    = 1 << 17 // entries in an array or map
	maxNestedLevel = 8
)

var (
	encMode = must(cbor.EncOptions{Sort: cbor.SortNone}.EncMode())
	decMode = must(cbor.DecOptions{
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxNestedLevel,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // the options above are constants
	}
	return v
}

// Encode returns the CBOR encoding of f. It fails if that exceeds MaxFrame bytes.
func Encode(f *Frame) ([]byte, error) {
	b, err := encMode.Marshal(f)
	if err != nil {
		return nil, fmt.Errorf("encode frame: %w", err)
	}
	if len(b) > MaxFrame {
		return nil, fmt.Errorf("encode frame: %d bytes exceed %d", len(b), MaxFrame)
	}
	return b, nil
}

// Decode parses one frame and decompresses its text. It never panics and never allocates
// more than a small multiple of len(b).
func Decode(b []byte) (*Frame, error) {
	if len(b) > MaxFrame {
		return nil, fmt.Errorf("decode frame: %d bytes exceed %d", len(b), MaxFrame)
	}
	f := new(Frame)
	if err := decMode.Unmarshal(b, f); err != nil {
		return nil, fmt.Errorf("decode frame: %w", err)
	}
	if err := f.unpackText(); err != nil {
		return nil, fmt.Errorf("decode frame: %w", err)
	}
	return f, nil
}
