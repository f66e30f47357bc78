package wire

import (
	"math/rand/v2"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestTextsComeAsTheyWereSent packs texts of many lengths and kinds.
func TestTextsComeAsTheyWereSent(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for n := range 400 {
		letters := 1 + rng.IntN(90)
		b := make([]byte, rng.IntN(5000))
		for i := range b {
			b[i] = byte(' ' + rng.IntN(letters))
		}
		text := string(b)
		sent := &Frame{RunTasks: &RunTasks{Job: "j", Packed: PackText(text)}}
		if sent.RunTasks.Packed == nil {
			sent.RunTasks.Text = text
		}
		raw, err := Encode(sent)
		qt.Assert(t, err, qt.IsNil)
		came, err := Decode(raw)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, came.RunTasks.Text == text, qt.IsTrue, qt.Commentf("text %d of %d bytes", n, len(text)))
		qt.Assert(t, came.RunTasks.Packed, qt.IsNil)
	}
}

// TestPackingSavesBytes packs what a caller's text may look like.
func TestPackingSavesBytes(t *testing.T) {
	text := strings.Repeat(`{"passenger":"NN","gate":"14B","lift":true}`, 40)
	p := PackText(text)
	qt.Assert(t, p, qt.IsNotNil)
	qt.Check(t, len(p.Bytes) < 3*len(text)/4, qt.IsTrue, qt.Commentf("%d of %d bytes", len(p.Bytes), len(text)))
}

// Guards against tasks started with a part of a broken packed text.
func TestPackedTextThatCannotBeReadIsRefused(t *testing.T) {
	good := PackText(strings.Repeat("abcdefgh", 100))
	for name, p := range map[string]*PackedText{
		"cut":       {Bytes: good.Bytes[:len(good.Bytes)/2], Size: good.Size},
		"empty":     {Size: good.Size},
		"too long":  {Bytes: good.Bytes, Size: good.Size + 1},
		"too short": {Bytes: good.Bytes, Size: good.Size - 1},
		"huge":      {Bytes: good.Bytes, Size: 1 << 40},
		"negative":  {Bytes: good.Bytes, Size: -1},
	} {
		raw, err := Encode(&Frame{RunTasks: &RunTasks{Job: "j", Packed: p}})
		qt.Assert(t, err, qt.IsNil)
		_, err = Decode(raw)
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%s", name))
	}
}
