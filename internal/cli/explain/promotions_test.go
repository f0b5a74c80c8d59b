package explain

import (
	"errors"
	"io"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"hemlockmast/internal/fleet/promotion"
)

// lostCommit has two holders whose attempts overlap, and a call of the first one that was open.
const lostCommit = `
{"ts":100.0,"msg":"primary does not answer","daemon":"core-1","service":"s","endpoint":"p"}
{"ts":100.1,"msg":"promotion started","daemon":"core-1","service":"s","token":1,"leadTerm":3,"primary":"p","openCalls":null}
{"ts":100.2,"msg":"endpoint answered","daemon":"core-1","service":"s","token":1,"leadTerm":3,"endpoint":"a","order":"pause","position":"3/7","pausedTerm":4}
{"ts":100.3,"msg":"promotion called","daemon":"core-1","service":"s","token":1,"leadTerm":3,"endpoint":"a","position":"3/7"}
{"ts":100.4,"msg":"leader changed","daemon":"core-1","leader":"core-2","term":4,"self":"follower"}
{"ts":100.4,"msg":"leader changed","daemon":"core-3","leader":"core-2","term":4,"self":"follower"}
{"ts":100.5,"msg":"promotion started","daemon":"core-2","service":"s","token":2,"leadTerm":4,"primary":"p","openCalls":[{"Token":1,"EndpointID":"a"}]}
{"ts":100.6,"msg":"platform called","daemon":"core-1","service":"s","token":1,"leadTerm":3,"endpoint":"a","outcome":"the outcome of the promotion is unknown: timeout"}
{"ts":100.7,"msg":"platform called","daemon":"core-1","service":"s","token":1,"leadTerm":3,"endpoint":"a","outcome":"promotion refused: busy"}
{"ts":100.8,"msg":"endpoint answered","daemon":"core-1","service":"s","token":1,"leadTerm":3,"endpoint":"a","order":"resume","position":"3/7","pausedTerm":0}
{"ts":100.8,"msg":"promotion failed","daemon":"core-1","service":"s","token":1,"reason":"unreached","error":"busy"}
{"ts":101.0,"msg":"platform called","daemon":"core-2","service":"s","token":2,"leadTerm":4,"endpoint":"b","outcome":"accepted"}
{"ts":101.5,"msg":"new primary answers","daemon":"core-2","service":"s","token":2,"leadTerm":4,"endpoint":"b","term":4,"position":"3/7","highest":"3/9"}
{"ts":101.5,"msg":"promotion done","daemon":"core-2","service":"s","token":2,"reason":"unreached","from":"p","to":"b"}
{"ts":101.6,"msg":"acknowledged commit is missing","daemon":"edge-1","service":"s","endpoint":"b","number":2,"token":2,"term":4,"acknowledged":"3/9","inherited":"3/7"}
{"ts":130.0,"msg":"promotion started","daemon":"core-2","service":"s","token":3,"leadTerm":4,"primary":"b","openCalls":null}
{"ts":130.1,"msg":"platform called","daemon":"core-2","service":"s","token":3,"leadTerm":4,"endpoint":"c","outcome":"promotion refused: no","suppressedLines":7}
{"ts":140.0,"msg":"promotion started","daemon":"core-3","service":"s","token":4,"leadTerm":5,"primary":"b","openCalls":null}
{"ts":100.5,"msg":"promotion started","daemon":"core-2","service":"other","token":9,"leadTerm":4,"primary":"x","openCalls":null}
`

func tell(t *testing.T, subject Subject) (stories []*Story, text string) {
	t.Helper()
	lines, err := Read(strings.NewReader(lostCommit))
	assert.NilError(t, err)
	stories, err = Promotions(subject, lines)
	assert.NilError(t, err)
	var out strings.Builder
	for _, s := range stories {
		assert.NilError(t, s.Write(&out))
	}
	return stories, out.String()
}

func TestStoryOfPromotions(t *testing.T) {
	stories, text := tell(t, Subject{Service: "s"})
	assert.Equal(t, len(stories), 1)
	s := stories[0]
	assert.Equal(t, len(s.Attempts), 4)
	first, second, third, fourth := s.Attempts[0], s.Attempts[1], s.Attempts[2], s.Attempts[3]
	assert.Equal(t, first.LostLeadAt, 100.4)
	assert.Assert(t, slices.Equal(first.Overlaps, []*Attempt{second}))
	assert.Assert(t, slices.Equal(second.OpenCalls, []*Attempt{first}))
	assert.Equal(t, second.LostLeadAt, 0.0)
	assert.Equal(t, len(third.OpenCalls)+len(third.Overlaps), 0, "a call with a higher token was carried out")
	assert.Equal(t, len(fourth.OpenCalls), 0, "the call was refused")
	for _, want := range []string{
		"token 1 of core-1, lead term 3, 00:01:40.1000 to 00:01:40.8000: failed (unreached): busy",
		"LOST THE LEAD at 00:01:40.4000; 4 lines of the attempt follow",
		"OVERLAPS token 2 of core-2", "CALL OPEN when it began: token 1 of core-1 for a",
		"b leads term 4 with a log up to 3/7; highest position known before: 3/9",
		"order=pause endpoint=a position=3/7 pausedTerm=4", "order=resume endpoint=a position=3/7 pausedTerm=0",
		"outcome=the outcome of the promotion is unknown: timeout",
		"MISSING: edge-1 saw 3/9 acknowledged; b leads term 4 since record 2 and began with 3/7",
		"token 4 of core-3, lead term 5, 00:02:20.0000 to 00:02:20.0000: NO END in the logs",
		"INCOMPLETE: daemons left 7 lines about promotions out",
	} {
		assert.Assert(t, strings.Contains(text, want), "%q is not in\n%s", want, text)
	}
	assert.Assert(t, !strings.Contains(text, "core-3  -"), "core-3 made no attempt at that time")
	assert.Assert(t, !strings.Contains(text, "last answer paused: a"), "a was resumed")
}

func TestStoryOfEndpoint(t *testing.T) {
	stories, text := tell(t, Subject{Endpoint: "c"})
	assert.Equal(t, len(stories), 1)
	assert.Equal(t, len(stories[0].Attempts), 1)
	assert.Assert(t, !strings.Contains(text, "order=pause endpoint=a"), text)
	assert.Assert(t, strings.Contains(text, "acknowledged commits missing: none reported"), text)
	_, text = tell(t, Subject{Endpoint: "a"})
	assert.Assert(t, strings.Contains(text, "order=resume endpoint=a"), text)
}

func TestPausesThatAnAttemptLeft(t *testing.T) {
	lines, err := Read(strings.NewReader(lostCommit))
	assert.NilError(t, err)
	lines = append(lines, Line{Time: 130.05, Message: msgAnswered, Daemon: "core-2", Service: "s",
		Text: `{"token":3,"endpoint":"c","order":"pause","pausedTerm":5}`})
	stories, err := Promotions(Subject{Service: "s"}, lines)
	assert.NilError(t, err)
	third := stories[0].Attempts[2]
	assert.DeepEqual(t, third.paused(), []string{"c with term 5"})
	answers := func(term float64) {
		third.Events = append(third.Events, Event{Line: Line{Message: msgAnswers}, fields: map[string]any{"term": term}})
	}
	answers(4)
	assert.Equal(t, len(third.paused()), 1)
	answers(5)
	assert.Equal(t, len(third.paused()), 0)
}

func TestSubjectWithoutPromotions(t *testing.T) {
	for _, subject := range []Subject{{Service: "none"}, {Endpoint: "none"}} {
		_, err := Promotions(subject, nil)
		var none *NoPromotionError
		assert.Assert(t, errors.As(err, &none))
		assert.Assert(t, strings.Contains(err.Error(), "none"))
	}
}

// TestOutcomesOfCallsAreThoseOfTheLog guards against an open call that counts as refused
// because the text of its outcome changed.
func TestOutcomesOfCallsAreThoseOfTheLog(t *testing.T) {
	assert.Assert(t, strings.HasPrefix((&promotion.OutcomeUnknownError{Cause: io.EOF}).Error(), unansweredPrefix))
	assert.Assert(t, !strings.HasPrefix((&promotion.ConflictError{}).Error(), unansweredPrefix))
}

// TestOpenCalls checks whether the call of token 1 is open when token 9 begins.
func TestOpenCalls(t *testing.T) {
	const unanswered, refused, accepted = "the outcome of the promotion is unknown: x", "promotion refused: x", "accepted"
	call := func(outcome string) string {
		return `{"ts":1,"msg":"platform called","daemon":"x","service":"s","token":1,"endpoint":"a","outcome":"` + outcome + "\"}\n"
	}
	event := func(message, fields string) string {
		return `{"ts":2,"msg":"` + message + `","daemon":"y","service":"s",` + fields + "}\n"
	}
	for name, tc := range map[string]struct {
		logs string
		want bool
	}{
		"refused":                   {call(refused), false},
		"accepted":                  {call(accepted), true},
		"unanswered, then refused":  {call(unanswered) + call(refused), true},
		"carried out":               {call(accepted) + event(msgAnswers, `"token":1,"endpoint":"a"`), false},
		"later one carried out":     {call(accepted) + event(msgDone, `"token":2,"to":"b"`), false},
		"earlier one carried out":   {call(accepted) + event(msgAnswers, `"token":0,"endpoint":"b"`), true},
		"its endpoint leads":        {call(accepted) + event(msgOtherLeads, `"token":2,"endpoint":"a"`), false},
		"its endpoint was recorded": {call(accepted) + event(msgRecorded, `"endpoint":"a"`), false},
		"another endpoint leads":    {call(accepted) + event(msgOtherLeads, `"token":2,"endpoint":"b"`), true},
	} {
		t.Run(name, func(t *testing.T) {
			last := `{"ts":3,"msg":"promotion started","daemon":"z","service":"s","token":9}`
			lines, err := Read(strings.NewReader(tc.logs + last))
			assert.NilError(t, err)
			stories, err := Promotions(Subject{Service: "s"}, lines)
			assert.NilError(t, err)
			attempts := stories[0].Attempts
			assert.Equal(t, len(attempts[len(attempts)-1].OpenCalls) == 1, tc.want)
		})
	}
}

func TestLostLead(t *testing.T) {
	for line, want := range map[string]float64{
		`{"ts":2,"msg":"leader changed","daemon":"x","self":"follower"}`: 2,
		`{"ts":2,"msg":"leader changed","daemon":"x","self":"leader"}`:   0,
		`{"ts":2,"msg":"leader changed","daemon":"y","self":"follower"}`: 0,
		`{"ts":4,"msg":"leader changed","daemon":"x","self":"follower"}`: 0,
	} {
		logs := line + `
{"ts":1,"msg":"promotion started","daemon":"x","service":"s","token":1}
{"ts":3,"msg":"promotion failed","daemon":"x","service":"s","token":1}
{"ts":2,"msg":"promotion started","daemon":"y","service":"s","token":2}`
		lines, err := Read(strings.NewReader(logs))
		assert.NilError(t, err)
		stories, err := Promotions(Subject{Service: "s"}, lines)
		assert.NilError(t, err)
		assert.Equal(t, stories[0].Attempts[0].LostLeadAt, want, line)
	}
}
