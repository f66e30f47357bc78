package jsonlimit

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

type list []any

func (l *list) UnmarshalJSON(b []byte) error { return List(b, (*[]any)(l), 3) }

func TestListsAreCountedAsTheyAreDecoded(t *testing.T) {
	for text, want := range map[string]int{
		`[]`: 0, ` [ ] `: 0, `null`: 0, `[1]`: 1, `[[],[]]`: 2, `[{},[1,2,3,4],"a,b"]`: 3, `["\",",",[","]"]`: 3, `[{"a":[1,2],"b":","},2]`: 2, "[\n1 ,\t2\r]": 2,
		`["\\",","]`: 2, `[""]`: 1, `[null,null]`: 2,
	} {
		var l list
		qt.Check(t, json.Unmarshal([]byte(text), &l), qt.IsNil, qt.Commentf("%s", text))
		qt.Check(t, l, qt.HasLen, want, qt.Commentf("%s", text))
		qt.Check(t, count([]byte(strings.TrimSpace(text))), qt.Equals, want, qt.Commentf("%s", text))
	}
}

// Guards against the memory of a list of empty objects, which take fifty times their text.
func TestLongListIsRefusedBeforeItIsDecoded(t *testing.T) {
	text := []byte("[{}" + strings.Repeat(",{}", 1<<18) + "]")
	var err error
	allocated := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			var l list
			err = l.UnmarshalJSON(text)
		}
	}).AllocedBytesPerOp()
	qt.Check(t, allocated < 1<<10, qt.IsTrue, qt.Commentf("%d bytes", allocated))
	tooLong, ok := errors.AsType[*TooLongError](err)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Check(t, *tooLong, qt.Equals, TooLongError{Count: 1<<18 + 1, Most: 3})
}

func TestOtherValuesAreRefused(t *testing.T) {
	for _, text := range []string{`{"a":1,"b":2,"c":3,"d":4}`, `"a,b,c,d,e"`, `5`, `true`} {
		var l list
		qt.Check(t, json.Unmarshal([]byte(text), &l), qt.ErrorMatches, "json: cannot unmarshal .*", qt.Commentf("%s", text))
	}
}

func TestTextsAreLimited(t *testing.T) {
	for text, want := range map[string]string{`""`: "", `"abc"`: "abc", `"\u0061bc"`: "abc", `"\u0061\u0062\u0063"`: "abc", `null`: ""} {
		var s string
		qt.Check(t, String([]byte(text), &s, 3), qt.IsNil, qt.Commentf("%s", text))
		qt.Check(t, s, qt.Equals, want)
	}
	for _, text := range []string{`"abcd"`, `"` + strings.Repeat("x", 1<<20) + `"`} {
		qt.Check(t, String([]byte(text), new(string), 3), qt.ErrorMatches, "a text has [0-9]+ bytes, at most 3")
	}
	qt.Check(t, String([]byte(`5`), new(string), 3), qt.IsNotNil)
}
