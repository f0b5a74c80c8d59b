package logpos

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestCompareOrdersByTermThenIndex(t *testing.T) {
	assert.Assert(t, Pos{1, 9}.Less(Pos{2, 1}))
	assert.Assert(t, Pos{2, 1}.Less(Pos{2, 2}))
	assert.Equal(t, Max(Pos{1, 9}, Pos{2, 1}), Pos{2, 1})
}

func TestParse(t *testing.T) {
	for _, tc := range []struct {
		text string
		want Pos
		ok   bool
	}{
		{"3/7", Pos{3, 7}, true},
		{"0/0", Pos{}, true},
		{"", Pos{}, false},
		{"3", Pos{}, false},
		{"3/", Pos{}, false},
		{"3/7x", Pos{}, false},
		{"-1/2", Pos{}, false},
	} {
		got, err := Parse(tc.text)
		assert.Equal(t, err == nil, tc.ok, tc.text)
		assert.Equal(t, got, tc.want, tc.text)
	}
}
