package wire

import (
	"errors"
	"fmt"
	"sync"

	"github.com/klauspost/compress/huff0"
)

// Limits on the size of a text that is compressed, in bytes.
const (
	minPackedSize = 256                // below this size little is saved
	maxPackedSize = huff0.BlockSizeMax // maximum input of the library
)

// PackedText is the compressed text of a job. The text is sent to each guard that gets
// tasks of the job, and makes up most of the traffic on the link of an entry.
type PackedText struct {
	Bytes []byte `cbor:"1,keyasint"`
	Size  int    `cbor:"2,keyasint"` // of the uncompressed text, in bytes
}

var scratchPool = sync.Pool{New: func() any { return new(huff0.Scratch) }}

// PackText compresses a text. It returns nil if that would save nothing.
func PackText(text string) *PackedText {
	if len(text) < minPackedSize || len(text) > maxPackedSize {
		return nil
	}
	s := scratchPool.Get().(*huff0.Scratch)
	defer scratchPool.Put(s)
	s.Reuse = huff0.ReusePolicyNone
	compressed, _, err := huff0.Compress1X([]byte(text), s)
	if err != nil {
		return nil // incompressible
	}
	return &PackedText{Bytes: append([]byte(nil), compressed...), Size: len(text)}
}

// text returns the uncompressed text.
func (p *PackedText) text() (string, error) {
	if p.Size < minPackedSize || p.Size > maxPackedSize {
		return "", fmt.Errorf("compressed text claims a size of %d bytes", p.Size)
	}
	s := scratchPool.Get().(*huff0.Scratch)
	defer scratchPool.Put(s)
	s, rest, err := huff0.ReadTable(p.Bytes, s)
	if err != nil {
		return "", fmt.Errorf("decompress text: %w", err)
	}
	out, err := s.Decoder().Decompress1X(make([]byte, 0, p.Size), rest)
	if err != nil {
		return "", fmt.Errorf("decompress text: %w", err)
	}
	if len(out) != p.Size {
		return "", errors.New("decompress text: shorter than the announced size")
	}
	return string(out), nil
}

// unpackText replaces the compressed text of a frame by the text.
func (f *Frame) unpackText() error {
	t := f.RunTasks
	if t == nil || t.Packed == nil {
		return nil
	}
	text, err := t.Packed.text()
	if err != nil {
		return err
	}
	t.Text, t.Packed = text, nil
	return nil
}
