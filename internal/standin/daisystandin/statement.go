package daisystandin

import (
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/daisyglade/daisyglade/internal/domain/daisystream"
)

const valuePattern = `('[^']*'|\$\d+|\d+(?:\.\d+)?)`

var (
	insertPattern   = compilePattern(`insert into (\w+) values \(\s*` + valuePattern + `\s*,\s*` + valuePattern + `\s*\)`)
	updatePattern   = compilePattern(`update (\w+) set value = ` + valuePattern + ` where key = ` + valuePattern)
	deletePattern   = compilePattern(`delete from (\w+) where key = ` + valuePattern)
	selectPattern   = compilePattern(`select value from (\w+) where key = ` + valuePattern)
	countPattern    = compilePattern(`select count\(\*\) from (\w+)`)
	repeatPattern   = compilePattern(`select repeat\('(\w)', (\d+)\) from generate_series\(1,\s*` + valuePattern + `\s*\)`)
	sleepPattern    = compilePattern(`select pg_sleep\(\s*` + valuePattern + `\s*\)`)
	platformPattern = compilePattern(`select (?:'(\w+ )' \|\| )?platform\.(\w+)\(([^)]*)\)`)
	paramPattern    = regexp.MustCompile(`\$(\d+)`)
)

// compilePattern compiles the pattern of a statement, in which a space matches any
// amount of white space.
func compilePattern(pattern string) *regexp.Regexp {
	return regexp.MustCompile(`(?is)^` + strings.ReplaceAll(pattern, " ", `\s+`) + `$`)
}

// sqlError is an error with an SQLSTATE.
type sqlError struct {
	code    string
	message string
}

func (e *sqlError) Error() string { return e.message }

// result is the result of one statement. Rows have one text column each.
type result struct {
	columns []string
	rows    func(yield func(string) bool)
	tag     string
}

func singleValue(column, text string) *result {
	return &result{
		columns: []string{column},
		rows:    func(yield func(string) bool) { yield(text) },
		tag:     "SELECT 1",
	}
}

// columns returns the names of the columns that the statement returns.
func columns(sql string) []string {
	lower := strings.ToLower(sql)
	if strings.HasPrefix(lower, "select") || strings.HasPrefix(lower, "show") {
		return []string{"value"}
	}
	return nil
}

func paramCount(sql string) int {
	n := 0
	for _, m := range paramPattern.FindAllStringSubmatch(sql, -1) {
		i, _ := strconv.Atoi(m[1])
		n = max(n, i)
	}
	return n
}

// resolve returns the text of a literal or a parameter.
func resolve(token string, params []string) (string, error) {
	if i, ok := strings.CutPrefix(token, "$"); ok {
		n, err := strconv.Atoi(i)
		if err != nil || n < 1 || n > len(params) {
			return "", &sqlError{"42P02", "there is no parameter " + token}
		}
		return params[n-1], nil
	}
	return strings.Trim(token, "'"), nil
}

func resolveAll(tokens, params []string) ([]string, error) {
	texts := make([]string, len(tokens))
	for i, t := range tokens {
		var err error
		if texts[i], err = resolve(t, params); err != nil {
			return nil, err
		}
	}
	return texts, nil
}

// run executes one statement of the session.
func (s *session) run(sql string, params []string) (*result, error) {
	sql = strings.TrimSpace(strings.TrimRight(strings.TrimSpace(sql), ";"))
	if _, rest, ok := strings.Cut(sql, "*/"); ok && strings.HasPrefix(sql, "/*") {
		sql = strings.TrimSpace(rest)
	}
	words := strings.Fields(strings.ToLower(sql))
	if len(words) == 0 {
		return &result{}, nil
	}
	if err := s.checkAborted(sql); err != nil {
		return nil, err
	}
	switch words[0] {
	case "begin", "start":
		s.status = daisystream.StatusOpen
		s.readOnly = s.readOnly || strings.HasSuffix(strings.Join(words, " "), "read only")
		return &result{tag: "BEGIN"}, nil
	case "commit", "end":
		return s.commitTransaction()
	case "rollback", "abort":
		s.reset()
		return &result{tag: "ROLLBACK"}, nil
	case "set":
		s.set(sql)
		return &result{tag: "SET"}, nil
	case "discard":
		s.prepared = make(map[string]string)
		s.settings = make(map[string]string)
		return &result{tag: "DISCARD ALL"}, nil
	case "copy":
		return nil, s.copyIn()
	case "show":
		name := strings.Join(words[1:], " ")
		r := singleValue(name, s.settings[name])
		r.tag = "SHOW"
		return r, nil
	}
	return s.runData(sql, params)
}

// checkAborted refuses a statement that does not end a failed transaction.
func (s *session) checkAborted(sql string) error {
	words := strings.Fields(strings.ToLower(sql))
	if s.status != daisystream.StatusFailed || len(words) == 0 || words[0] == "rollback" || words[0] == "commit" {
		return nil
	}
	return &sqlError{"25P02", "current transaction is aborted"}
}

func (s *session) runData(sql string, params []string) (*result, error) {
	if m := platformPattern.FindStringSubmatch(sql); m != nil {
		return s.runPlatformFunction(m[1], strings.ToLower(m[2]), m[3])
	}
	s.member.executed.Add(1)
	statements := []struct {
		pattern  *regexp.Regexp
		firstArg int // Index of the first argument among the submatches.

		// run executes the statement, given the first submatch and the arguments.
		run func(first string, args []string) (*result, error)
	}{
		{insertPattern, 2, s.insert},
		{updatePattern, 2, s.update},
		{deletePattern, 2, s.remove},
		{selectPattern, 2, s.selectValue},
		{countPattern, 2, s.selectCount},
		{sleepPattern, 1, s.selectSleep},
		{repeatPattern, 2, s.selectRepeat},
	}
	for _, st := range statements {
		m := st.pattern.FindStringSubmatch(sql)
		if m == nil {
			continue
		}
		args, err := resolveAll(m[st.firstArg:], params)
		if err != nil {
			return nil, err
		}
		return st.run(strings.ToLower(m[1]), args)
	}
	if text, ok := strings.CutPrefix(strings.ToLower(sql), "select "); ok && !strings.Contains(text, " ") {
		v, err := resolve(text, params)
		return singleValue("value", v), err
	}
	return nil, &sqlError{"42601", "statement is not supported: " + sql}
}

func (s *session) set(sql string) {
	fields := strings.FieldsFunc(sql, func(r rune) bool { return r == ' ' || r == '=' })
	if len(fields) < 3 {
		return
	}
	name := strings.ToLower(fields[1])
	s.settings[name] = strings.Trim(fields[2], "'")
}

func (s *session) lookup(table, key string) (string, bool) {
	for i := len(s.writes) - 1; i >= 0; i-- {
		if w := s.writes[i]; w.table == table && w.key == key {
			return w.value, !w.deleted
		}
	}
	return s.member.get(table, key)
}

func (s *session) stageWrite(w write) error {
	if s.readOnly || s.settings["default_transaction_read_only"] == "on" || !s.member.isPrimary() {
		return &sqlError{"25006", errReadOnly.Error()}
	}
	s.writes = append(s.writes, w)
	return nil
}

func (s *session) insert(table string, args []string) (*result, error) {
	if _, ok := s.lookup(table, args[0]); ok {
		return nil, &sqlError{"23505", fmt.Sprintf("duplicate key %q in %s", args[0], table)}
	}
	err := s.stageWrite(write{table: table, key: args[0], value: args[1], mustBeNew: true})
	return &result{tag: "INSERT 0 1"}, err
}

func (s *session) update(table string, args []string) (*result, error) {
	if _, ok := s.lookup(table, args[1]); !ok {
		return &result{tag: "UPDATE 0"}, nil
	}
	err := s.stageWrite(write{table: table, key: args[1], value: args[0]})
	return &result{tag: "UPDATE 1"}, err
}

func (s *session) remove(table string, args []string) (*result, error) {
	if _, ok := s.lookup(table, args[0]); !ok {
		return &result{tag: "DELETE 0"}, nil
	}
	err := s.stageWrite(write{table: table, key: args[0], deleted: true})
	return &result{tag: "DELETE 1"}, err
}

func (s *session) selectValue(table string, args []string) (*result, error) {
	v, ok := s.lookup(table, args[0])
	if !ok {
		return &result{columns: []string{"value"}, tag: "SELECT 0"}, nil
	}
	return singleValue("value", v), nil
}

func (s *session) selectCount(table string, _ []string) (*result, error) {
	return singleValue("value", strconv.Itoa(s.member.count(table))), nil
}

func (s *session) selectSleep(seconds string, _ []string) (*result, error) {
	f, err := strconv.ParseFloat(seconds, 64)
	if err != nil {
		return nil, &sqlError{"22P02", "argument of pg_sleep is not a number"}
	}
	select {
	case <-time.After(time.Duration(f * float64(time.Second))):
		return singleValue("value", ""), nil
	case <-s.cancelled:
		return nil, &sqlError{"57014", "canceling statement due to user request"}
	}
}

func (s *session) selectRepeat(letter string, args []string) (*result, error) {
	width, err := strconv.Atoi(args[0])
	if err != nil {
		return nil, &sqlError{"22P02", "second argument of repeat is not an integer"}
	}
	n, err := strconv.Atoi(args[1])
	if err != nil {
		return nil, &sqlError{"22P02", "second argument of generate_series is not an integer"}
	}
	text := strings.Repeat(letter, width)
	rows := func(yield func(string) bool) {
		for range n {
			if !yield(text) {
				return
			}
		}
	}
	return &result{columns: []string{"value"}, rows: rows, tag: fmt.Sprintf("SELECT %d", n)}, nil
}

func (s *session) commitTransaction() (*result, error) {
	if s.status == daisystream.StatusFailed {
		s.reset()
		return &result{tag: "ROLLBACK"}, nil
	}
	err := s.commitWrites()
	s.reset()
	return &result{tag: "COMMIT"}, err
}

// commitWrites commits the writes that the transaction staged.
func (s *session) commitWrites() error {
	if len(s.writes) == 0 {
		return nil
	}
	p, err := s.member.commit(s.term, s.writes)
	s.writes = nil
	switch {
	case errors.Is(err, errDuplicate):
		return &sqlError{"23505", err.Error()}
	case err != nil:
		return &sqlError{"25006", err.Error()}
	}
	s.committed = p
	return nil
}

// runPlatformFunction executes a platform function. Its result is one text value:
// the member's term, role, received position and applied position, after the prefix.
func (s *session) runPlatformFunction(prefix, name, list string) (*result, error) {
	args := strings.Split(list, ",")
	for i := range args {
		args[i] = strings.Trim(strings.TrimSpace(args[i]), "'")
	}
	status, err := s.callPlatformFunction(name, args)
	if err != nil {
		return nil, &sqlError{"55000", err.Error()}
	}
	return singleValue("value", prefix+fmt.Sprintf("%d %s %s %s", status.Term, status.Role, status.Received, status.Applied)), nil
}

func (s *session) callPlatformFunction(name string, args []string) (Status, error) {
	switch {
	case name == "member_status":
		return s.member.Status(), nil
	case name == "await" && len(args) == 3:
		return s.callAwait(args)
	}
	term, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return Status{}, err
	}
	switch {
	case name == "fence":
		return s.member.fence(term, s)
	case name == "promote":
		err = s.member.promote(term)
	case name == "follow" && len(args) == 2:
		err = s.group.follow(s.member, term, args[1])
	default:
		err = fmt.Errorf("platform function %s is unknown or has the wrong number of arguments", name)
	}
	return s.member.Status(), err
}

func (s *session) callAwait(args []string) (Status, error) {
	received, err := daisystream.ParsePosition(args[0])
	if err != nil {
		return Status{}, err
	}
	applied, err := daisystream.ParsePosition(args[1])
	if err != nil {
		return Status{}, err
	}
	ms, err := strconv.Atoi(args[2])
	if err != nil {
		return Status{}, err
	}
	return s.member.await(received, applied, time.Duration(ms)*time.Millisecond, s.cancelled), nil
}
