package membership

import (
	"encoding/binary"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Digest returns this daemon's table with its digest and without its records.
func (s *State) Digest() Table { return Table{Digest: s.computeDigest(), From: s.self} }

// Full returns this daemon's whole table.
func (s *State) Full(now time.Time) Table {
	t := Table{Digest: s.computeDigest(), Full: true, From: s.self}
	for _, m := range s.members {
		if m.Incarnation > 0 {
			t.Members = append(t.Members, Aged[Member]{Record: m.Member, Age: now.Sub(m.changedAt)})
		}
	}
	for _, c := range s.claims {
		t.Claims = append(t.Claims, Aged[Claim]{Record: c.Claim, Age: now.Sub(c.heardAt)})
	}
	return t
}

// computeDigest returns a hash that is equal for equal tables. Sequences are left
// out, because they grow with every announcement.
func (s *State) computeDigest() uint64 {
	lines := []string{memberLine(s.self)}
	for _, m := range s.members {
		if m.Incarnation > 0 {
			lines = append(lines, memberLine(m.Member))
		}
	}
	for _, c := range s.claims {
		lines = append(lines, claimLine(c.Claim))
	}
	slices.Sort(lines)
	h := xxhash.New()
	for _, l := range lines {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(l)))
		h.Write(n[:])
		h.WriteString(l)
	}
	return h.Sum64()
}

func memberLine(m Member) string {
	return "m\x00" + m.Name + "\x00" + strconv.FormatUint(m.Incarnation, 10) + "\x00" +
		strconv.FormatUint(m.Version, 10) + "\x00" + m.Status.String()
}

func claimLine(c Claim) string {
	return "c\x00" + c.Group + "\x00" + c.Slot + "\x00" + c.Address + "\x00" + c.Incarnation + "\x00" +
		strconv.FormatUint(c.Started, 10) + "\x00" + strconv.FormatBool(c.Leaving) + strconv.FormatBool(c.Lapsed)
}

// Merge merges another daemon's table into this one. It reports whether the
// digests differ afterwards, so that the other daemon needs this daemon's table.
func (s *State) Merge(now time.Time, t Table) (Effects, bool) {
	if t.From.validate() != nil || t.From.Name == s.self.Name {
		return Effects{}, false
	}
	eff := s.mergeRecords(now, t.From, t.Members, t.Claims)
	eff.add(s.updateSilentDomains(now))
	return eff, t.Digest != s.computeDigest()
}
