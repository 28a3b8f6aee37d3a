package main

import (
	"context"
	"fmt"
	"time"
)

// listRows is the number of rows of the long list, of 256 KiB each.
const listRows = 400

// playAnswer has clients fetch a long list. The rule is that no tenth of the machines, two
// at least, have processes that end by themselves three times.
func playAnswer(ctx context.Context, f *fleet, trouble bool) error {
	const rounds, hosts, limit = 4, 2, 3
	item := fmt.Sprintf("list-%d", listRows)
	if !trouble {
		item = "list-1"
	}
	for round := range rounds {
		for i := range hosts {
			if err := f.awaitHost(ctx, f.entries[i]); err != nil {
				return err
			}
			s, err := f.open(ctx, fmt.Sprintf("client %d/%d", i+1, round+1), i, boundedDatabase)
			if err != nil {
				return err
			}
			_, err = s.do("FETCH " + item)
			s.close()
			if err != nil {
				f.record.note("the session broke: %v", err)
			}
			time.Sleep(2 * time.Second)
		}
	}
	return f.judgeEndings(hosts, limit)
}

// judgeEndings checks the rule on processes that end by themselves.
func (f *fleet) judgeEndings(machines, limit int) error {
	failing := 0
	for _, h := range f.entries {
		f.record.note("%s: ended %d times; at most %d MiB were seen in use", h.name, h.endings(), h.mostMemory())
		if h.endings() >= limit {
			failing++
		}
	}
	if failing >= machines {
		f.record.breach("the processes of %d machines ended %d times or more, since they used more memory than they may", failing, limit)
	}
	return nil
}
