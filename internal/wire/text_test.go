package wire

import (
	"math/rand/v2"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Texts of many lengths and alphabets are the same after encoding and decoding.
func TestPackedTextRoundTrip(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for n := range 400 {
		alphabetSize := 1 + rng.IntN(90)
		b := make([]byte, rng.IntN(5000))
		for i := range b {
			b[i] = byte(' ' + rng.IntN(alphabetSize))
		}
		text := string(b)
		sent := &Frame{RunTasks: &RunTasks{Job: "j", Packed: PackText(text)}}
		if sent.RunTasks.Packed == nil {
			sent.RunTasks.Text = text
		}
		encoded, err := Encode(sent)
		qt.Assert(t, err, qt.IsNil)
		received, err := Decode(encoded)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, received.RunTasks.Text == text, qt.IsTrue, qt.Commentf("text %d of %d bytes", n, len(text)))
		qt.Assert(t, received.RunTasks.Packed, qt.IsNil)
	}
}

// A typical text of a caller is compressed by at least a quarter.
func TestPackingReducesSize(t *testing.T) {
	text := strings.Repeat(`{"passenger":"NN","gate":"14B","lift":true}`, 40)
	p := PackText(text)
	qt.Assert(t, p, qt.IsNotNil)
	qt.Check(t, len(p.Bytes) < 3*len(text)/4, qt.IsTrue, qt.Commentf("%d of %d bytes", len(p.Bytes), len(text)))
}

// If a corrupt compressed text were accepted, tasks would start with only a part of their
// text.
func TestCorruptPackedTextIsRejected(t *testing.T) {
	valid := PackText(strings.Repeat("abcdefgh", 100))
	for name, p := range map[string]*PackedText{
		"cut":       {Bytes: valid.Bytes[:len(valid.Bytes)/2], Size: valid.Size},
		"empty":     {Size: valid.Size},
		"too long":  {Bytes: valid.Bytes, Size: valid.Size + 1},
		"too short": {Bytes: valid.Bytes, Size: valid.Size - 1},
		"huge":      {Bytes: valid.Bytes, Size: 1 << 40},
		"negative":  {Bytes: valid.Bytes, Size: -1},
	} {
		raw, err := Encode(&Frame{RunTasks: &RunTasks{Job: "j", Packed: p}})
		qt.Assert(t, err, qt.IsNil)
		_, err = Decode(raw)
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%s", name))
	}
}
