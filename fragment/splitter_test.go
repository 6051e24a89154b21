package fragment_test

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/errorkind"
	"nutmegfield.example/fragment"
)

// split splits a text written in pieces of a size. The elements are separated by "|".
func split(text string, size int) (elements string, rest string, err error) {
	var found []string
	splitter := &fragment.Splitter{Field: "items", OnElement: func(text []byte) error {
		found = append(found, string(text))
		return nil
	}}
	for ; len(text) > 0; text = text[min(size, len(text)):] {
		if _, err := splitter.Write([]byte(text[:min(size, len(text))])); err != nil {
			return "", "", err
		}
	}
	end, err := splitter.Rest()
	return strings.Join(found, "|"), string(end), err
}

// TestSplit guards against elements that end at the wrong place, whatever they contain and
// however the answer arrives.
func TestSplit(t *testing.T) {
	deep := strings.Repeat(`[{"a":`, 20_000) + "1" + strings.Repeat("}]", 20_000)
	for _, test := range []struct{ text, elements, rest string }{
		{`{"items":[],"at":5}`, "", `{"items":[],"at":5}`},
		{`{"items":null}`, "", `{"items":null}`},
		{"{\"at\": 5, \"items\" : [ {\"a\": [1, 2]} , 7 ] }", `{"a": [1, 2]}|7`, `{"at": 5, "items" : [] }`},
		{`{"other":[1,[2]],"items":[{"items":[3]}],"items":[4]}`, `{"items":[3]}`, `{"other":[1,[2]],"items":[],"items":[4]}`},
		{`{"items":["]},{","\"]\\",{"a":"\\"},null]}`, `"]},{"|"\"]\\"|{"a":"\\"}|null`, `{"items":[]}`},
		{"{\"items\":[\xff\xfe not json,{\"a\":\"\xff\x01\"},NaN]}", "\xff\xfe not json|{\"a\":\"\xff\x01\"}|NaN", `{"items":[]}`},
		{`[{"a":[1]},2]`, `{"a":[1]}|2`, `[]`},
		{`{"items":[` + deep + `,1]}`, deep + "|1", `{"items":[]}`},
	} {
		for _, size := range []int{1, 7, 4096} {
			c := qt.New(t)
			elements, rest, err := split(test.text, size)
			c.Assert(err, qt.IsNil)
			c.Assert(elements == test.elements, qt.IsTrue, qt.Commentf("%.200s: %.200s", test.text, elements))
			c.Assert(rest, qt.Equals, test.rest)
		}
	}
}

func TestSplitMalformed(t *testing.T) {
	c := qt.New(t)
	for _, text := range []string{`{"items":[1}`, `}`, `{"items":[{]}]}`, `{"a":"` + strings.Repeat("x", 1<<17) + `"}`} {
		_, _, err := split(text, 1000)
		c.Check(errorkind.Is(err, fragment.Malformed), qt.IsTrue, qt.Commentf("%.40s: %v", text, err))
	}
	for _, text := range []string{``, ` `, `{`, `{"items":[1,`, `{"items":["a`, `{"items":[]`} {
		_, _, err := split(text, 1000)
		c.Check(errorkind.Is(err, fragment.Incomplete), qt.IsTrue, qt.Commentf("%s: %v", text, err))
	}
}

// TestLongElement guards against long elements that are read to their end though nobody
// needs them.
func TestLongElement(t *testing.T) {
	c := qt.New(t)
	errEnough := errors.New("enough")
	splitter := &fragment.Splitter{
		Field: "items", LongBytes: 10, OnElement: func([]byte) error { return nil },
		OnLong: func(start []byte) error {
			c.Check(strings.HasPrefix(string(start), `{"name":"b","v`), qt.IsTrue, qt.Commentf("%s", start))
			return errEnough
		},
	}
	_, err := splitter.Write([]byte(`{"items":[{"a":1},{"name":"b","v`))
	c.Assert(err, qt.Equals, errEnough)
}

// FuzzSplit checks that an element which is JSON is found whole between two others.
func FuzzSplit(f *testing.F) {
	for _, element := range []string{`{"a":[1,{}]}`, `"\"]}"`, `[[[]]]`, "null", `{"":"\\"}`} {
		f.Add(element, 3)
	}
	f.Fuzz(func(t *testing.T, element string, size int) {
		elements, _, err := split(`{"items":[{"b":1},`+element+`,{"c":2}],"at":1}`, 1+max(0, size)%64)
		if !json.Valid([]byte(element)) {
			return
		}
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, elements, qt.Equals, `{"b":1}|`+strings.TrimSpace(element)+`|{"c":2}`)
	})
}
