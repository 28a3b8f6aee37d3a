package daisybalance

import (
	"math"
	"time"

	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
)

const (
	// fullAge is the age up to which a view counts in full.
	fullAge = 2 * time.Second
	// halfLife is the time after which the weight of an older view has halved.
	halfLife = 2 * time.Second
	// defaultTime is the time from the arrival at a gateway to the answer that is
	// assumed for a server without a view.
	defaultTime = 30 * time.Millisecond
	// defaultRun is the part of it that a statement runs.
	defaultRun = 25 * time.Millisecond
	// excessWeight and faultWeight are the weights of a new observation in the averages.
	excessWeight = 0.2
	faultWeight  = 0.25
	// inFlightShare is how much each statement in flight adds to the expected time, as
	// a fraction of the run time.
	inFlightShare = 0.5
	// peakAge is how long the greatest load is remembered: longer than nearly all
	// statements wait.
	peakAge = 2 * time.Second
	// maxClasses bounds the classes whose loads are kept for a server.
	maxClasses = 64
	// faultHalfLife is the time after which a server that gets no requests is believed
	// to fail only half as many as before.
	faultHalfLife = 20 * time.Second
	// runHalfLife is the same for the run time of a class, which changes more slowly
	// than a queue. With the half-life of the wait, hosts would try far servers again
	// and again while all servers run the class slowly.
	runHalfLife = 10 * time.Second
)

// View is what a host knows of one server's load and faults. The zero value knows
// nothing. It is not safe for concurrent use.
type View struct {
	loads   map[string]stated // By class.
	excess  average           // Time of answers beyond the load stated with them.
	faulted average           // Fraction of the requests that failed.
}

// stated is a load that a gateway stated.
type stated struct {
	load     daisyrequest.Load
	priority int
	at       time.Time
	measured bool // It was derived from an answer, as the gateway states none.
	peak     peak
}

// peak is the greatest load stated in the last peakAge. Answers that were sent when it
// was stated waited as long as it said.
type peak struct {
	total time.Duration
	at    time.Time
}

func (p *peak) add(now time.Time, total time.Duration) {
	if total >= p.total || now.Sub(p.at) > peakAge {
		p.total, p.at = total, now
	}
}

// average is a moving average that loses weight with time.
type average struct {
	value float64
	at    time.Time
}

// add adds an observation of the given weight. The average before it has the given
// half-life.
func (a *average) add(now time.Time, value, weight float64, halfLife time.Duration) {
	a.value = (1-weight)*a.aged(now, halfLife) + weight*value
	a.at = now
}

// aged returns the average as it counts now.
func (a *average) aged(now time.Time, halfLife time.Duration) float64 {
	if a.at.IsZero() {
		return 0
	}
	return a.value * math.Exp2(-now.Sub(a.at).Seconds()/halfLife.Seconds())
}

// State records a load that the server's gateway stated for requests of the class and
// priority.
func (v *View) State(now time.Time, class string, priority int, l daisyrequest.Load) {
	v.record(now, class, l, priority, false)
}

func (v *View) record(now time.Time, class string, l daisyrequest.Load, priority int, measured bool) {
	if v.loads == nil {
		v.loads = make(map[string]stated)
	}
	if _, ok := v.loads[class]; !ok && len(v.loads) >= maxClasses {
		v.dropOldest()
	}
	s := v.loads[class]
	s.load, s.priority, s.at, s.measured = l, priority, now, measured
	s.peak.add(now, l.Wait+l.Run)
	v.loads[class] = s
}

func (v *View) dropOldest() {
	oldest := ""
	for class, s := range v.loads {
		if oldest == "" || s.at.Before(v.loads[oldest].at) {
			oldest = class
		}
	}
	delete(v.loads, oldest)
}

// Answered records that an answer of a request of the class took the given time
// without the round trip. What exceeds the load stated with it was spent on the way,
// such as in a queue of the gateway's network link. Without a stated load, the time
// itself tells the load.
func (v *View) Answered(now time.Time, class string, priority int, took time.Duration) {
	s, ok := v.loads[class]
	if !ok || s.measured || now.Sub(s.at) > fullAge {
		run := min(took, defaultRun)
		v.record(now, class, daisyrequest.Load{Wait: took - run, Run: run}, priority, true)
		return
	}
	v.excess.add(now, float64(max(0, took-s.peak.total)), excessWeight, halfLife)
}

// Judge records how well the server treated a request: 1 if it answered, 0 if it
// failed.
func (v *View) Judge(now time.Time, success float64) {
	v.faulted.add(now, 1-success, faultWeight, faultHalfLife)
}

// Success returns the fraction of requests that the server is expected to answer.
func (v *View) Success(now time.Time) float64 { return 1 - v.faulted.aged(now, faultHalfLife) }

// Expected is the time in which a server is expected to answer.
type Expected struct {
	Wait  time.Duration // Until the statement is sent to the server.
	Run   time.Duration // Of the statement, with those in flight before it.
	Way   time.Duration // The round trip and delays on the way.
	Age   time.Duration // Of the load that Wait is from.
	Known bool          // Whether a load is known.
	// Measured is set if the load was derived from answers, which tell of a queue only
	// after it.
	Measured bool
}

// Total returns the sum of the parts.
func (e Expected) Total() time.Duration { return e.Way + e.Wait + e.Run }

// Expect returns the time in which the server is expected to answer a request of the
// class and priority over the round trip, with the given number of statements of this
// host in flight. The older the load is, the less of it counts.
func (v *View) Expect(now time.Time, class string, priority int, roundTrip time.Duration, inFlight int) Expected {
	e := Expected{Wait: defaultTime - defaultRun, Run: defaultRun, Way: roundTrip + time.Duration(v.excess.aged(now, halfLife))}
	if s, ok := v.newest(now, class, priority); ok {
		e.Age, e.Known, e.Measured = now.Sub(s.at), true, s.measured
		e.Wait, e.Run = blend(weight(e.Age, halfLife), s.load.Wait, e.Wait), blend(weight(e.Age, runHalfLife), s.load.Run, e.Run)
	}
	e.Run += time.Duration(inFlightShare * float64(inFlight) * float64(e.Run))
	return e
}

// weight returns how much of a view of the age counts.
func weight(age, halfLife time.Duration) float64 {
	return math.Exp2(-max(0, age-fullAge).Seconds() / halfLife.Seconds())
}

func blend(weight float64, a, b time.Duration) time.Duration {
	return time.Duration(weight*float64(a) + (1-weight)*float64(b))
}

// newest returns the load of the class, or, if that is old, the newest one of a class
// of the same or a higher priority, which waits no longer, with the run time of the
// class if that is known.
func (v *View) newest(now time.Time, class string, priority int) (stated, bool) {
	own, ok := v.loads[class]
	if ok && now.Sub(own.at) <= fullAge {
		return own, true
	}
	best, found := own, ok
	for _, s := range v.loads {
		if s.priority <= priority && (!found || s.at.After(best.at)) {
			best, found = s, true
		}
	}
	if ok {
		best.load.Run = own.load.Run
	}
	return best, found
}
