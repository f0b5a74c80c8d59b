package explain

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Log messages that the story of promotions depends on.
const (
	msgLeaderChanged = "leader changed"
	msgAnswered      = "endpoint answered"
	msgCalled        = "promotion called"
	msgPlatform      = "platform called"
	msgAnswers       = "new primary answers"
	msgFailed        = "promotion failed"
	msgDone          = "promotion done"
	msgOtherLeads    = "another endpoint leads already"
	msgRecorded      = "primary recorded"
	msgMissing       = "acknowledged commit is missing"
)

// promotionMessages are the messages of the story, beside those of daemons.
var promotionMessages = []string{
	"primary does not answer", "replicas receive nothing from the primary", "primary overloaded while replicas lag",
	"endpoint changed", "promotion started", "promotion is out of date before it started", "promotion interrupted",
	"replica cannot be reached", "endpoint did not answer", "primary did not step down", "all replicas are paused",
	"no replica caught up after the primary stepped down", "no endpoint is paused",
	"replicas that do not run are covered", "replicas that do not run are not covered yet",
	"control group did not allocate a token for a promotion", "control group did not record the primary",
	"control group did not record the end of an attempt",
	msgAnswered, msgCalled, msgPlatform, msgAnswers, msgFailed, msgDone, msgOtherLeads, msgRecorded, msgMissing,
}

// holderMessages are the messages of a holder about itself, without a service.
var holderMessages = []string{msgLeaderChanged, "daemon started", "daemon stopped"}

// Outcomes of calls to the platform in the field "outcome".
const (
	outcomeAccepted = "accepted"
	// unansweredPrefix begins the outcome of a call that may still be carried out.
	unansweredPrefix = "the outcome of the promotion is unknown"
)

// Subject is whose promotions are shown: those of a service, or only those in which an
// endpoint takes part.
type Subject struct{ Service, Endpoint string }

// NoPromotionError reports a subject that no line about promotions names.
type NoPromotionError struct{ Subject Subject }

func (e *NoPromotionError) Error() string {
	if e.Subject.Endpoint != "" {
		return fmt.Sprintf("no promotion names endpoint %s", e.Subject.Endpoint)
	}
	return fmt.Sprintf("no promotion names service %s", e.Subject.Service)
}

// Event is a log line of a promotion, with all its fields.
type Event struct {
	Line
	Token, LeadTerm uint64
	fields          map[string]any
}

// field returns a field as text, or "".
func (e Event) field(name string) string {
	switch v := e.fields[name].(type) {
	case nil:
		return ""
	case string:
		return v
	default:
		text, err := json.Marshal(v)
		if err != nil {
			return fmt.Sprint(v)
		}
		return string(text)
	}
}

// number returns a field as a number, or 0.
func (e Event) number(name string) float64 {
	n, _ := e.fields[name].(float64)
	return n
}

// names reports whether the event names the endpoint.
func (e Event) names(endpoint string) bool {
	for _, v := range e.fields {
		if v == endpoint {
			return true
		}
	}
	return strings.Contains(e.field("endpoints"), `"`+endpoint+`"`)
}

// Attempt is one attempt to replace the primary of a service. A holder and a token name it.
type Attempt struct {
	Service, Holder string
	Token, LeadTerm uint64
	// Start and End are the times of the first and the last line, in seconds since the Unix
	// epoch, on the holder's clock.
	Start, End float64
	Events     []Event
	// LostLeadAt is when the holder found during the attempt that it no longer led; 0 if it
	// did not.
	LostLeadAt float64
	// Overlaps are the attempts of other holders at the same time.
	Overlaps []*Attempt
	// OpenCalls are the earlier attempts whose call to the platform might still have been
	// carried out when this one began.
	OpenCalls []*Attempt

	// called is the endpoint of the call; "" without one. calledAt and closedAt bound the time
	// in which the platform might carry it out; closedAt is 0 if no end is known.
	called             string
	calledAt, closedAt float64
}

// Story is what the logs tell about the promotions of one service.
type Story struct {
	Service string
	Events  []Event
	// Attempts are sorted by start.
	Attempts []*Attempt
	// Missing are the reports of acknowledged commits that a primary lacks.
	Missing []Event
	// Suppressed is the number of lines about promotions that daemons left out of their logs.
	Suppressed uint64
}

// Promotions tells the promotions of the subject, one story for each service. Errors:
// *NoPromotionError.
func Promotions(subject Subject, lines []Line) ([]*Story, error) {
	events, suppressed := parseEvents(lines)
	stories := make(map[string]*Story)
	for _, e := range events {
		isOther := subject.Service != "" && e.Service != subject.Service
		if e.Service == "" || isOther {
			continue
		}
		if stories[e.Service] == nil {
			stories[e.Service] = &Story{Service: e.Service, Suppressed: suppressed}
		}
		stories[e.Service].add(e)
	}
	var list []*Story
	for _, s := range stories {
		s.addHolders(events)
		s.relate()
		if subject.Endpoint != "" {
			s.keepOnly(subject.Endpoint)
		}
		if len(s.Attempts)+len(s.Missing) > 0 {
			list = append(list, s)
		}
	}
	if len(list) == 0 {
		return nil, &NoPromotionError{Subject: subject}
	}
	slices.SortFunc(list, func(a, b *Story) int { return strings.Compare(a.Service, b.Service) })
	return list, nil
}

// parseEvents returns the lines about promotions and holders, sorted by time, and how many
// such lines were left out of the logs.
func parseEvents(lines []Line) (events []Event, suppressed uint64) {
	for _, l := range lines {
		isPromotion := slices.Contains(promotionMessages, l.Message)
		if !isPromotion && !slices.Contains(holderMessages, l.Message) {
			continue
		}
		var numbers struct{ Token, LeadTerm, SuppressedLines uint64 }
		e := Event{Line: l}
		if json.Unmarshal([]byte(l.Text), &e.fields) != nil || json.Unmarshal([]byte(l.Text), &numbers) != nil {
			continue
		}
		e.Token, e.LeadTerm = numbers.Token, numbers.LeadTerm
		suppressed += numbers.SuppressedLines
		events = append(events, e)
	}
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.Time, b.Time) })
	return events, suppressed
}

// add adds an event of the service. Events come in the order of their times.
func (s *Story) add(e Event) {
	s.Events = append(s.Events, e)
	if e.Message == msgMissing {
		s.Missing = append(s.Missing, e)
		return
	}
	if e.Token == 0 {
		return
	}
	i := slices.IndexFunc(s.Attempts, func(a *Attempt) bool { return a.Holder == e.Daemon && a.Token == e.Token })
	if i < 0 {
		s.Attempts = append(s.Attempts, &Attempt{Service: s.Service, Holder: e.Daemon, Token: e.Token, Start: e.Time})
		i = len(s.Attempts) - 1
	}
	a := s.Attempts[i]
	a.End = e.Time
	a.LeadTerm = max(a.LeadTerm, e.LeadTerm)
	a.Events = append(a.Events, e)
	a.noteCall(e)
}

// noteCall notes what an event tells about the attempt's call.
func (a *Attempt) noteCall(e Event) {
	isCall := e.Message == msgCalled || e.Message == msgPlatform
	if isCall && a.called == "" {
		a.called, a.calledAt = e.field("endpoint"), e.Time
	}
	if e.Message != msgPlatform {
		return
	}
	if a.mayBeCarriedOut() {
		a.closedAt = 0
	} else {
		a.closedAt = e.Time
	}
}

// mayBeCarriedOut reports whether some call of the attempt was accepted or not answered. The
// answer to its repetition does not tell what becomes of an unanswered call.
func (a *Attempt) mayBeCarriedOut() bool {
	return slices.ContainsFunc(a.Events, func(e Event) bool {
		outcome := e.field("outcome")
		return e.Message == msgPlatform && (outcome == outcomeAccepted || strings.HasPrefix(outcome, unansweredPrefix))
	})
}

// addHolders adds what the holders of attempts logged about themselves around that time.
func (s *Story) addHolders(events []Event) {
	for _, e := range events {
		if e.Service != "" {
			continue
		}
		isNear := func(a *Attempt) bool {
			return a.Holder == e.Daemon && e.Time > a.Start-windowSeconds && e.Time < a.End+windowSeconds
		}
		if !slices.ContainsFunc(s.Attempts, isNear) {
			continue
		}
		s.Events = append(s.Events, e)
		for _, a := range s.Attempts {
			isDuring := a.Holder == e.Daemon && e.Time >= a.Start && e.Time <= a.End
			if isDuring && a.LostLeadAt == 0 && e.Message == msgLeaderChanged && e.field("self") != "leader" {
				a.LostLeadAt = e.Time
			}
		}
	}
	slices.SortStableFunc(s.Events, func(a, b Event) int { return cmp.Compare(a.Time, b.Time) })
}

// relate finds the attempts that overlap and the calls that were open when an attempt began.
func (s *Story) relate() {
	for _, e := range s.Events {
		s.closeCalls(e)
	}
	for _, a := range s.Attempts {
		for _, b := range s.Attempts {
			if a.Holder != b.Holder && a.Start <= b.End && b.Start <= a.End {
				a.Overlaps = append(a.Overlaps, b)
			}
			isOpen := b.called != "" && b.calledAt < a.Start && (b.closedAt == 0 || b.closedAt > a.Start)
			if a != b && isOpen {
				a.OpenCalls = append(a.OpenCalls, b)
			}
		}
	}
}

// closeCalls closes the calls that an event proves to be over: a call with their token or a
// higher one was carried out, or the endpoint is known to lead.
func (s *Story) closeCalls(e Event) {
	for _, a := range s.Attempts {
		if a.called == "" || a.closedAt != 0 || a.calledAt > e.Time {
			continue
		}
		switch e.Message {
		case msgAnswers, msgDone:
			if e.Token >= a.Token {
				a.closedAt = e.Time
			}
		case msgOtherLeads, msgRecorded:
			if e.field("endpoint") == a.called {
				a.closedAt = e.Time
			}
		}
	}
}

// keepOnly removes the attempts that do not name the endpoint, and the events about other
// endpoints.
func (s *Story) keepOnly(endpoint string) {
	s.Attempts = slices.DeleteFunc(s.Attempts, func(a *Attempt) bool {
		return !slices.ContainsFunc(a.Events, func(e Event) bool { return e.names(endpoint) })
	})
	s.Missing = slices.DeleteFunc(s.Missing, func(e Event) bool { return !e.names(endpoint) })
	s.Events = slices.DeleteFunc(s.Events, func(e Event) bool {
		isAttempt := slices.ContainsFunc(s.Attempts, func(a *Attempt) bool { return a.Holder == e.Daemon && a.Token == e.Token })
		isGeneral := e.field("endpoint") == "" && (isAttempt || e.Service == "")
		return !isGeneral && !e.names(endpoint)
	})
}
