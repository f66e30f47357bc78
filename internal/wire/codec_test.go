package wire

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
)

func TestFrameRoundTrip(t *testing.T) {
	f := &Frame{Start: &Start{Ref: Ref{Member: "ayni", Key: "k", Task: 3}, Of: 5, Body: []byte("x")}}
	b, err := Encode(f)
	qt.Assert(t, err, qt.IsNil)
	got, err := Decode(b)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.DeepEquals, f)
}

// Guards against the ID and the start time of a worker being encoded as a nested field, which
// earlier versions do not read.
func TestWorkerInstanceIsEncodedInline(t *testing.T) {
	frame := &Frame{GuardHeartbeat: &GuardHeartbeat{Worker: &RunWorker{WorkerInstance: WorkerInstance{ID: "i-1", StartMs: 7}, Service: "s"}}}
	b, err := Encode(frame)
	qt.Assert(t, err, qt.IsNil)
	decoded, err := Decode(b)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, decoded.GuardHeartbeat.Worker, qt.DeepEquals, frame.GuardHeartbeat.Worker)
	var earlier struct {
		ID      string `cbor:"1,keyasint"`
		Service string `cbor:"2,keyasint"`
	}
	b, err = cbor.Marshal(frame.GuardHeartbeat.Worker)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, cbor.Unmarshal(b, &earlier), qt.IsNil)
	qt.Check(t, earlier.ID, qt.Equals, "i-1")
	qt.Check(t, earlier.Service, qt.Equals, "s")
}

// During an upgrade a newer process sends fields that this version does not define. If they
// made decoding fail, every upgrade would close the links of the whole fleet.
func TestUnknownFieldsAreIgnored(t *testing.T) {
	b, err := cbor.Marshal(map[int]any{6: map[int]any{1: 9, 2: 4, 99: "new"}, 77: []int{1}})
	qt.Assert(t, err, qt.IsNil)
	f, err := Decode(b)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, f.Load, qt.DeepEquals, &Load{Seq: 9, Running: 4})
}

// A hostile or faulty peer can send arbitrary bytes. A panic would abort the process and
// every request in flight.
func FuzzDecode(f *testing.F) {
	b, _ := Encode(&Frame{Hello: &Hello{Version: 1, Service: "ayni/reserva", Slots: 8}})
	f.Add(b)
	f.Add([]byte{0xbf, 0xff})
	f.Add([]byte{0x9a, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		if fr, err := Decode(b); err == nil {
			if _, err := Encode(fr); err != nil {
				t.Fatalf("decoded frame does not encode: %v", err)
			}
		}
	})
}

// Links decode from a buffer that the next frame overwrites. If a frame aliased it, a
// caller could receive the response to another caller's request.
func TestDecodedFrameDoesNotAliasInput(t *testing.T) {
	f := &Frame{Result: &Result{Ref: Ref{Member: "ayni", Key: "key"}, Body: []byte("answer")}}
	b, err := Encode(f)
	qt.Assert(t, err, qt.IsNil)
	got, err := Decode(b)
	qt.Assert(t, err, qt.IsNil)
	clear(b)
	qt.Assert(t, got, qt.DeepEquals, f)
}
