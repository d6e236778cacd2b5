package state

import (
	"maps"
	"slices"
	"time"

	"hillknot/internal/cluster/placement"
)

// illAfter is how many failures in a row a router must have seen itself before it says so.
const illAfter = 3

// judgement is what is known of one page cache.
type judgement struct {
	fails   int           // in a row, as this router last saw
	well    time.Duration // when this router last saw a sign of life
	until   time.Duration // the verdict holds before; 0: there is none
	tried   time.Duration // latest evidence of all
	votes   map[string]vote
	verdict uint64 // how many there were
}

// vote is the latest evidence of one router.
type vote struct {
	process, number uint64
	until           time.Duration // it counts before
}

// ObserveHealth tells what this router itself has seen of a page cache: how many failures in a row, and when the latest sign
// of life came. Only what is new is evidence.
func (s *State) ObserveHealth(now time.Duration, node string, fails int, well time.Duration) {
	j := s.judged[node]
	if j == nil {
		if fails < illAfter || len(s.judged) >= judgedMost || !validName(node) {
			return
		}
		j = &judgement{votes: map[string]vote{}}
		s.judged[node] = j
	}
	ill := fails >= illAfter && fails > j.fails
	alive := well > j.well && fails == 0
	j.fails, j.well = fails, max(j.well, well)
	switch {
	case ill:
		s.evidence(now, node, j, true)
	case alive && (now < j.until || now < j.votes[s.set.Self].until):
		s.evidence(now, node, j, false)
	}
}

func (s *State) evidence(now time.Duration, node string, j *judgement, ill bool) {
	s.round++
	s.say("", "evidence "+node, Message{Kind: KindHealthEvidence, Key: node, Sequence: s.round, Unhealthy: ill, ValidFor: s.set.EjectionDuration})
	s.weigh(now, j, s.set.Self, vote{s.set.Process, s.round, now + s.set.EjectionDuration}, ill)
}

// weigh takes evidence. Enough of it makes a verdict. While that holds, any new evidence prolongs it: those who keep away
// can bring none, and only who tries can. One good answer ends it for all, and all that was said before.
func (s *State) weigh(now time.Duration, j *judgement, who string, v vote, ill bool) {
	j.tried = now
	if !ill {
		j.until = 0
		for name, o := range j.votes {
			o.until = 0
			j.votes[name] = o
		}
		v.until = 0
	}
	j.votes[who] = v
	n := 0
	for _, o := range j.votes {
		if now < o.until {
			n++
		}
	}
	switch {
	case !ill:
	case now < j.until:
		j.until = max(j.until, v.until)
	case n >= s.quorum():
		j.until, j.verdict = v.until, j.verdict+1
	}
}

// quorum is how many routers must have evidence: one alone may be the one that is cut off.
func (s *State) quorum() int {
	if s.set.Quorum > 0 {
		return s.set.Quorum
	}
	return max(2, (len(s.live)+1)/2+1)
}

func (s *State) heardEvidence(now time.Duration, m Message) {
	j := s.judged[m.Key]
	if j == nil {
		if len(s.judged) >= judgedMost {
			return
		}
		j = &judgement{votes: map[string]vote{}}
		s.judged[m.Key] = j
	}
	old, known := j.votes[m.From]
	switch {
	case m.From == s.set.Self && m.Process >= s.set.Process: // our own, by way of others
		return
	case known && (m.Process < old.process || m.Process == old.process && m.Sequence <= old.number):
		return
	case !known && len(j.votes) >= s.set.ClusterSize+namesMost:
		return
	}
	s.weigh(now, j, m.From, vote{m.Process, m.Sequence, now + min(m.ValidFor, s.set.EjectionDuration)}, m.Unhealthy)
}

// Ejected tells whether the routers agree that a page cache is sick.
func (s *State) Ejected(now time.Duration, node string) bool {
	j := s.judged[node]
	return j != nil && now < j.until
}

// ProbedByPeer tells whether this router should keep away from a page cache: all agree that it is sick, and another one tries it
// for all. Who that is follows from the names of those alive, the same for all who see the same.
func (s *State) ProbedByPeer(now time.Duration, node string) bool {
	if !s.Ejected(now, node) {
		return false
	}
	return len(s.live) > 0 && placement.Assign("try "+node, append([]string{s.set.Self}, s.live...)) != s.set.Self
}

// Ejections are the page caches that are held to be sick now, in order, and how many verdicts there were in all.
func (s *State) Ejections(now time.Duration) (sick []string, made uint64) {
	for _, node := range slices.Sorted(maps.Keys(s.judged)) {
		if made += s.judged[node].verdict; s.Ejected(now, node) {
			sick = append(sick, node)
		}
	}
	return sick, made
}

// beatVerdicts forgets what no longer says anything. What was said before can't come back by then: evidence counts for
// Verdict at most, by whatever way it comes.
func (s *State) beatVerdicts(now time.Duration) {
	maps.DeleteFunc(s.judged, func(_ string, j *judgement) bool {
		return now >= j.until && now > j.tried+4*s.set.EjectionDuration && j.fails < illAfter
	})
}

func (s *State) wholeEvidence(now time.Duration) (all []Message) {
	for node, j := range s.judged {
		for who, v := range j.votes {
			if now < v.until {
				all = append(all, Message{Kind: KindHealthEvidence, From: who, Process: v.process, Key: node, Sequence: v.number, Unhealthy: true, ValidFor: v.until - now})
			}
		}
	}
	return all
}
