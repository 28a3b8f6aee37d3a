package daisybalance

import (
	"fmt"
	"time"
)

// Explanation is a candidate with the reason why it is not taken.
type Explanation struct {
	Assessment
	Chance float64 // Of the next read to go to it.
	Reason string  // Why it is not taken, or not by all reads; empty if it gets all.
}

// Explain explains the assessments of candidates. The text of a problem is looked up.
func Explain(all []Assessment, problem func(int) string) []Explanation {
	least, _ := leastProblem(all)
	var cheapest Assessment
	for i, a := range all {
		if i == 0 || cheaper(a, cheapest) {
			cheapest = a
		}
	}
	explanations := make([]Explanation, len(all))
	for i, chance := range Chances(all) {
		e := Explanation{Assessment: all[i], Chance: chance}
		e.Reason = reason(e, least, cheapest, problem)
		explanations[i] = e
	}
	return explanations
}

func reason(e Explanation, least int, cheapest Assessment, problem func(int) string) string {
	switch {
	case e.Tried:
		return "it was tried before"
	case e.Problem > least:
		return problem(e.Problem)
	case e.Chance == 1:
		return ""
	case e.Excluded:
		return fmt.Sprintf("it answers %.0f%% of its requests, so it gets single statements", 100*e.Success)
	case e.Chance > 0:
		return fmt.Sprintf("it gets %.0f%% of the reads; the costs call for %.0f%%", 100*e.Chance, 100*e.Target)
	case e.Target > 0:
		return fmt.Sprintf("its share has yet to grow to %.0f%%", 100*e.Target)
	case e.Cost > cheapest.Cost:
		return fmt.Sprintf("it costs %v, %s costs %v", rounded(e.Cost), cheapest.Name, rounded(cheapest.Cost))
	}
	return "the gain does not pay for the distance"
}

func rounded(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }
