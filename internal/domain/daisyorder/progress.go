package daisyorder

import "time"

// MaxClassWait is how long a class may wait while only others are served; then its next
// request goes first. Every class is to make progress within 2 s; the other half is for
// the requests that are running then.
const MaxClassWait = time.Second

// class identifies a class of requests.
type class struct {
	priority int
	name     string
}

// Progress records since when each class of waiting requests has not been served. The
// zero value is ready to use. It is not safe for concurrent use.
type Progress struct {
	classes map[class]*waitingClass
}

type waitingClass struct {
	waiting int
	since   time.Time // Since when none was served, or when the first began to wait.
	left    time.Time // When the last one left, while none waits.
}

// Add records that a request waits.
func (p *Progress) Add(o Order, now time.Time) {
	if p.classes == nil {
		p.classes = make(map[class]*waitingClass)
	}
	p.forget(now)
	key := class{o.Priority, o.Class}
	if p.classes[key] == nil {
		p.classes[key] = &waitingClass{since: now}
	}
	p.classes[key].waiting++
}

// Remove records that a request no longer waits, and whether it was served.
func (p *Progress) Remove(o Order, served bool, now time.Time) {
	key := class{o.Priority, o.Class}
	c := p.classes[key]
	if c == nil {
		return
	}
	if served {
		c.since = now
	}
	if c.waiting--; c.waiting == 0 {
		c.left = now
	}
}

// forget drops the classes of which no request has waited for MaxClassWait. A class of
// which all requests are refused after a shorter wait is still one without progress.
func (p *Progress) forget(now time.Time) {
	for key, c := range p.classes {
		if c.waiting == 0 && now.Sub(c.left) >= MaxClassWait {
			delete(p.classes, key)
		}
	}
}

// Starved returns a request's Priority and Class of the class that has waited longest, if
// one has waited for MaxClassWait.
func (p *Progress) Starved(now time.Time) (o Order, ok bool) {
	var oldest time.Time
	for key, c := range p.classes {
		if c.waiting > 0 && now.Sub(c.since) >= MaxClassWait && (!ok || c.since.Before(oldest)) {
			o, oldest, ok = Order{Priority: key.priority, Class: key.name}, c.since, true
		}
	}
	return o, ok
}

// SameClass reports whether the requests are of one class.
func (o Order) SameClass(other Order) bool {
	return o.Priority == other.Priority && o.Class == other.Class
}
