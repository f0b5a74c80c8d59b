package explain

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const logs = `
  9.9 edge-1 {"ts":100.5,"msg":"endpoint does not serve","daemon":"edge-1","service":"s","endpoint":"p"}
not a line
{"ts":101.0,"msg":"promotion called","daemon":"core-1","service":"s","token":1}
{"ts":101.0,"msg":"promotion called","daemon":"core-1","service":"other","token":1}
{"ts":90.0,"msg":"promotion called","daemon":"core-1","service":"s","token":1}
{"ts":101.2,"msg":"cut off from other failure domains","daemon":"edge-1"}
{"ts":101.2,"msg":"cut off from other failure domains","daemon":"edge-2"}
{"ts":101.3,"msg":"statement failed","daemon":"edge-1","id":"q1","service":"s","code":"busy"}
{"ts":101.4,"msg":"statement failed","daemon":"edge-1","id":"q2","service":"s","code":"busy"}
{"ts":102.0,"msg":"promotion done","daemon":"core-1","service":"s","token":1}
{"ts":broken
`

func TestExplain(t *testing.T) {
	lines, err := Read(strings.NewReader(logs))
	assert.NilError(t, err)
	found, err := Explain("q1", lines)
	assert.NilError(t, err)
	var got []string
	for _, l := range found {
		got = append(got, l.Message+" "+l.Daemon)
	}
	assert.DeepEqual(t, got, []string{
		"endpoint does not serve edge-1", "promotion called core-1",
		"cut off from other failure domains edge-1", "statement failed edge-1", "promotion done core-1",
	})
	_, err = Explain("q9", lines)
	var none *NotFoundError
	assert.Assert(t, errors.As(err, &none))
}

// TestLongLineIsSkipped guards against a log whose one long line, such as that of an odd request,
// makes all others unreadable.
func TestLongLineIsSkipped(t *testing.T) {
	log := `{"msg":"a","id":"1"}` + "\n" + `{"msg":"` + strings.Repeat("x", 3*maxLineBytes) + `"}` + "\n" + `{"msg":"b","id":"1"}`
	lines, err := Read(strings.NewReader(log))
	assert.NilError(t, err)
	assert.Equal(t, len(lines), 2)
	assert.Equal(t, lines[1].Message, "b")
}
