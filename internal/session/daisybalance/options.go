package daisybalance

import "time"

const (
	// defaultDomainCost is what leaving a failure domain for another one of the same
	// region costs beyond its round trip of 2 ms, which the expected time includes.
	defaultDomainCost = 4 * time.Millisecond
	// defaultRegionCost is what the bytes between regions of one statement are worth. A
	// round trip of 25 ms between regions comes on top.
	defaultRegionCost = 80 * time.Millisecond
	// primaryPenalty keeps reads that a replica can serve away from the primary, whose
	// slots writes need.
	primaryPenalty = 15 * time.Millisecond
	// slackShare is the part of the objective within which a class gains almost nothing
	// from a faster answer: an operation has several statements.
	slackShare = 0.25
	// slackWorth is what time within the slack counts.
	slackWorth = 0.1
	// defaultObjective is assumed for a class without an objective.
	defaultObjective = 500 * time.Millisecond
)

// Distance is how far a server is from the host.
type Distance int

// The distances.
const (
	SameDomain  Distance = iota // In the host's failure domain.
	SameRegion                  // In another failure domain of the host's region.
	OtherRegion                 // In another region.
)

var distanceNames = []string{"same domain", "same region", "other region"}

// String returns the distance in words.
func (d Distance) String() string { return distanceNames[d] }

// Costs are the costs of crossing a boundary, stated as the time that must be gained
// for it. Zero values stand for the defaults.
type Costs struct {
	Domain time.Duration // Between failure domains of a region.
	Region time.Duration // Between regions.
}

// crossing returns the cost of a read at a server at the distance.
func (c Costs) crossing(d Distance) time.Duration {
	switch {
	case d == SameDomain:
		return 0
	case d == SameRegion && c.Domain > 0:
		return c.Domain
	case d == SameRegion:
		return defaultDomainCost
	case c.Region > 0:
		return c.Region
	}
	return defaultRegionCost
}

// Class is a class of reads.
type Class struct {
	Objective time.Duration // The latency objective of an operation.
	Slack     time.Duration // The time within which a faster answer gains almost nothing.
}

// NewClass returns the class of reads with the objective, 0 if they have none.
func NewClass(objective time.Duration) Class {
	if objective <= 0 {
		objective = defaultObjective
	}
	return Class{Objective: objective, Slack: time.Duration(slackShare * float64(objective))}
}

// worth returns what an expected time costs a request of the class.
func (c Class) worth(expected time.Duration) time.Duration {
	within := min(expected, c.Slack)
	return time.Duration(slackWorth*float64(within)) + expected - within
}
