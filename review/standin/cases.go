package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// unreadablePing has another writer send pings whose ID cannot be read as text. The
// desired state must stay in the fleet, also when all processes of the core are killed.
func unreadablePing(w *world, trouble bool) (verdict, error) {
	if trouble {
		writer := &caller{rec: w.rec, fleet: w.fleet}
		for i := range 6 {
			body := fmt.Sprintf(`{"service":"huvo11a","address":"%s.2.99:8080","zone":"cardiff","version":"v1","capacity":3,"state":"ready","coldLeftMs":0,"dbRole":"replica","sequence":%d,"born":%d}`,
				w.fleet.network, i+1, time.Now().UnixMilli())
			w.rec.line("another writer sends PUT /instances/%%FF%%FE with %s", body)
			status, _, err := writer.call(http.MethodPut, "/instances/%FF%FE", []byte(body), 2*callTimeout)
			w.rec.line("another writer: status %d, error %v", status, err)
			time.Sleep(heartbeat)
		}
	}
	confirmed := 1.0
	if w.operator.put(desired(2, []string{firstKey}, w.groups...), ackTime) == nil {
		confirmed = 2
	}
	for _, p := range w.fleet.ofRole("control") {
		w.fleet.kill(p)
	}
	time.Sleep(restartDelay)
	for _, p := range w.fleet.ofRole("control") {
		if err := w.fleet.start(p); err != nil {
			return "", err
		}
	}
	version, ok := w.operator.version(2 * recoverTime)
	w.rec.line("processes of the core ended by themselves %d times", w.fleet.exits("control"))
	switch {
	case !ok:
		return verdict(fmt.Sprintf("CONFIG: version %v was confirmed and is not read back within %v of the restart; the core's processes ended by themselves %d times",
			confirmed, 2*recoverTime, w.fleet.exits("control"))), nil
	case version < confirmed:
		return verdict(fmt.Sprintf("CONFIG: version %v was confirmed, %v is read back", confirmed, version)), nil
	}
	return "", nil
}

// revokedKey takes the key away from a consumer that is in a transaction.
func revokedKey(w *world, trouble bool) (verdict, error) {
	const statements, pause = 12, 700 * time.Millisecond
	entry := w.fleet.ofRole("entry")[0]
	s, err := connect(w.rec, "consumer", w.fleet.frontAddr(entry), database(w.groups[0], "primary"))
	if err != nil {
		return "", err
	}
	defer s.close()
	if _, err := s.query(w.id(), "BEGIN"); err != nil {
		return "", err
	}
	var confirmed time.Time
	sent := make(map[string]time.Time)
	for i := range statements - 2 {
		if i == 1 {
			keys := []string{firstKey, "j8pjbvk9m68k7b2ex5wa"}
			if trouble {
				keys = keys[1:]
			}
			if err := w.operator.put(desired(2, keys, w.groups...), ackTime); err != nil {
				return "", err
			}
			confirmed = time.Now()
		}
		id := w.id()
		sent[id] = time.Now()
		text := fmt.Sprintf("STORE item%d data%d", i, i)
		if i%2 == 0 {
			text = "FETCH first"
		}
		a, err := s.query(id, text)
		if err != nil || a.failure != "" {
			break
		}
		time.Sleep(pause)
	}
	id := w.id()
	sent[id] = time.Now()
	_, _ = s.query(id, "COMMIT")
	if !trouble {
		return "", nil
	}
	late, last := 0, time.Duration(0)
	for _, r := range w.groups[0].ran() {
		if at, ok := sent[r.id]; ok && at.Sub(confirmed) > configApply {
			late, last = late+1, max(last, at.Sub(confirmed))
			w.rec.line("id %s was sent %v after the key was taken away, and ran for %s (committed: %t)", r.id, at.Sub(confirmed), r.workspace, r.committed)
		}
	}
	if late > 0 {
		return verdict(fmt.Sprintf("CONFIG: %d requests with the key taken away, sent %v to %v after the confirmation, ran", late, configApply, last)), nil
	}
	return "", nil
}

// changedText has a consumer store data with a line feed in it, which does not end a line,
// and data that ends in a blank. The last field of a line extends to its end, CR LF.
func changedText(w *world, trouble bool) (verdict, error) {
	const smuggled = "77aa77aa77aa77aa"
	entry := w.fleet.ofRole("entry")[1]
	texts := []string{"STORE note1 ring twice", "EXECUTE s1 note2 leave with neighbour"}
	if trouble {
		texts = []string{"STORE note1 ring twice\nQUERY " + smuggled + " STORE other smuggled", "EXECUTE s1 note2 leave with neighbour "}
	}
	sent := make(map[string]string)
	for _, text := range texts {
		s, err := connect(w.rec, "consumer", w.fleet.frontAddr(entry), database(w.groups[0], "primary"))
		if err != nil {
			return "", err
		}
		if a, err := s.query(w.id(), "PARSE s1 STORE q2c"); err != nil || a.failure != "" {
			return "", errors.Join(err, errors.New("PARSE: "+a.failure))
		}
		id := w.id()
		sent[id] = text
		_, _ = s.query(id, text)
		s.close()
	}
	time.Sleep(time.Second) // What was smuggled may still run.
	ran, why := 0, ""
	for _, r := range w.groups[0].ran() {
		text, ok := sent[r.id]
		if ok {
			ran++
		}
		switch {
		case r.id == smuggled:
			why += fmt.Sprintf("; the member ran %q, which was smuggled inside another request", r.text)
		case ok && data(r.text) != data(text):
			why += fmt.Sprintf("; the member ran id %s with the text %q, sent was %q", r.id, r.text, text)
		}
	}
	if why != "" {
		return verdict("UNASKED" + why), nil
	}
	if !trouble && ran < len(texts) {
		return "", fmt.Errorf("%d of %d statements ran", ran, len(texts))
	}
	return "", nil
}

// data returns a statement without the name of a prepared statement, which the system may
// change.
func data(text string) string {
	if rest, ok := strings.CutPrefix(text, "EXECUTE "); ok {
		_, arguments, _ := strings.Cut(rest, " ")
		return "EXECUTE " + arguments
	}
	return text
}

// lostCommits has the members promote and returns which acknowledged items the promoted
// member lacks. Watch must be called before the promotion.
type lostCommits struct {
	group        *group
	acknowledged []string // Guarded by group.mu.
	promoted     chan string
}

func watchPromotions(g *group) *lostCommits {
	l := &lostCommits{group: g, promoted: make(chan string, 8)}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.promoted = func(m *member) {
		lacks := ""
		for _, item := range l.acknowledged {
			if m.value(item, nil) == "" {
				lacks += " " + item
			}
		}
		if lacks != "" {
			lacks = fmt.Sprintf("%s was promoted in term %d without the acknowledged items%s", m.id, m.term, lacks)
			g.rec.line("%s", lacks)
		}
		l.promoted <- lacks
	}
	return l
}

// write stores an item and notes it if the commit is acknowledged.
func (l *lostCommits) write(w *world, item string) bool {
	s, err := connect(w.rec, "consumer", w.fleet.frontAddr(w.fleet.ofRole("entry")[0]), database(l.group, "primary"))
	if err != nil {
		return false
	}
	defer s.close()
	a, err := s.query(w.id(), "STORE "+item+" data")
	if err != nil || a.failure != "" {
		return false
	}
	l.group.mu.Lock()
	defer l.group.mu.Unlock()
	l.acknowledged = append(l.acknowledged, item)
	return true
}

// await waits for the next promotion and returns what the promoted member lacks.
func (l *lostCommits) await(limit time.Duration) (lacks string, err error) {
	select {
	case lacks = <-l.promoted:
		return lacks, nil
	case <-time.After(limit):
		return "", fmt.Errorf("no member was promoted within %v", limit)
	}
}

// leavingReplica has the primary crash while one replica drains and the other has received
// nothing for a while. Only the draining one has the last acknowledged commits.
func leavingReplica(w *world, trouble bool) (verdict, error) {
	g := w.groups[0]
	primary, full, deaf := g.members[0], g.members[1], g.members[2]
	watch := watchPromotions(g)
	if trouble {
		g.mu.Lock()
		full.draining = true
		g.mu.Unlock()
		w.rec.line("member %s is to be replaced: it drains", full.id)
		time.Sleep(2 * heartbeat)
	}
	g.mu.Lock()
	deaf.deaf = true
	g.mu.Unlock()
	w.rec.line("member %s receives nothing", deaf.id)
	for i := range 5 {
		if !watch.write(w, fmt.Sprint("item", i)) {
			return "", fmt.Errorf("write %d was not acknowledged", i)
		}
	}
	primary.crash()
	time.AfterFunc(4*time.Second, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		deaf.deaf = false
	})
	lacks, err := watch.await(recoverTime)
	if lacks != "" {
		return verdict("LOST: " + lacks), nil
	}
	return "", err
}

// oldBranch has the next primary crash as the previous one, which was cut off, returns with
// commits that were never acknowledged.
func oldBranch(w *world, trouble bool) (verdict, error) {
	const inFlight = 4 // As many as a gateway sends a member of three slots at once.
	g := w.groups[0]
	old := g.members[0]
	watch := watchPromotions(g)
	for i := range inFlight {
		go watch.write(w, fmt.Sprint("inflight", i))
	}
	for i := 0; i < 100; i++ { // The primary has them, and they are on their way to the replicas.
		g.mu.Lock()
		n := 0
		for _, e := range old.log {
			if old.received(e) == 0 {
				n++
			}
		}
		g.mu.Unlock()
		if n >= inFlight {
			break
		}
		time.Sleep(time.Millisecond)
	}
	old.isolate()
	cut := time.Now()
	if lacks, err := watch.await(recoverTime); err != nil || lacks != "" {
		return "", errors.Join(err, errors.New("first promotion: "+lacks))
	}
	for i := 0; i < 2; {
		if watch.write(w, fmt.Sprint("item", i)) {
			i++
		}
		time.Sleep(50 * time.Millisecond)
	}
	if !trouble {
		return "", old.heal()
	}
	time.Sleep(time.Until(cut.Add(6 * time.Second)))
	g.mu.Lock()
	var present *member
	for _, m := range g.members {
		if m.primary && m.term == g.term {
			present = m
		}
	}
	g.mu.Unlock()
	present.crash()
	if err := old.heal(); err != nil {
		return "", err
	}
	lacks, err := watch.await(recoverTime)
	if lacks != "" {
		return verdict("LOST: " + lacks), nil
	}
	return "", err
}
