package daisystandin

import (
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/daisyglade/daisyglade/internal/holder/daisystream"
)

const value = `('[^']*'|\$\d+|\d+(?:\.\d+)?)`

var (
	insertForm   = form(`insert into (\w+) values \(\s*` + value + `\s*,\s*` + value + `\s*\)`)
	updateForm   = form(`update (\w+) set value = ` + value + ` where key = ` + value)
	deleteForm   = form(`delete from (\w+) where key = ` + value)
	selectForm   = form(`select value from (\w+) where key = ` + value)
	countForm    = form(`select count\(\*\) from (\w+)`)
	seriesForm   = form(`select repeat\('(\w)', (\d+)\) from generate_series\(1,\s*` + value + `\s*\)`)
	sleepForm    = form(`select pg_sleep\(\s*` + value + `\s*\)`)
	platformForm = form(`select platform\.(\w+)\(([^)]*)\)`)
	paramForm    = regexp.MustCompile(`\$(\d+)`)
)

// form compiles the pattern of a statement, in which a space stands for any
// white space.
func form(pattern string) *regexp.Regexp {
	return regexp.MustCompile(`(?is)^` + strings.ReplaceAll(pattern, " ", `\s+`) + `$`)
}

// sqlError is an error with an SQLSTATE.
type sqlError struct {
	code    string
	message string
}

func (e *sqlError) Error() string { return e.message }

// result is the answer to one statement. Rows have one text column each.
type result struct {
	columns []string
	rows    func(yield func(string) bool)
	tag     string
}

func one(column, text string) *result {
	return &result{
		columns: []string{column},
		rows:    func(yield func(string) bool) { yield(text) },
		tag:     "SELECT 1",
	}
}

// columns returns the column names that the statement answers with.
func columns(sql string) []string {
	lower := strings.ToLower(sql)
	if strings.HasPrefix(lower, "select") || strings.HasPrefix(lower, "show") {
		return []string{"value"}
	}
	return nil
}

func paramCount(sql string) int {
	n := 0
	for _, m := range paramForm.FindAllStringSubmatch(sql, -1) {
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
	if s.status == daisystream.StatusFailed && words[0] != "rollback" && words[0] != "commit" {
		return nil, &sqlError{"25P02", "current transaction is aborted"}
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
		return nil, errCopy
	}
	return s.runData(sql, params)
}

func (s *session) runData(sql string, params []string) (*result, error) {
	if m := platformForm.FindStringSubmatch(sql); m != nil {
		return s.runPlatform(strings.ToLower(m[1]), m[2])
	}
	s.member.served.Add(1)
	forms := []struct {
		form *regexp.Regexp
		skip int
		run  func(table string, args []string) (*result, error)
	}{
		{insertForm, 2, s.insert},
		{updateForm, 2, s.update},
		{deleteForm, 2, s.remove},
		{selectForm, 2, s.selectValue},
		{countForm, 2, s.selectCount},
		{sleepForm, 1, s.sleep},
		{seriesForm, 2, s.series},
	}
	for _, f := range forms {
		m := f.form.FindStringSubmatch(sql)
		if m == nil {
			continue
		}
		args, err := resolveAll(m[f.skip:], params)
		if err != nil {
			return nil, err
		}
		return f.run(strings.ToLower(m[1]), args)
	}
	if name, ok := strings.CutPrefix(strings.ToLower(sql), "show "); ok {
		return one(name, s.settings[name]), nil
	}
	if text, ok := strings.CutPrefix(strings.ToLower(sql), "select "); ok && !strings.Contains(text, " ") {
		v, err := resolve(text, params)
		return one("value", v), err
	}
	return nil, &sqlError{"42601", "statement is not understood: " + sql}
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
			return w.value, !w.gone
		}
	}
	return s.member.get(table, key)
}

func (s *session) stage(w write) error {
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
	err := s.stage(write{table: table, key: args[0], value: args[1], fresh: true})
	return &result{tag: "INSERT 0 1"}, err
}

func (s *session) update(table string, args []string) (*result, error) {
	if _, ok := s.lookup(table, args[1]); !ok {
		return &result{tag: "UPDATE 0"}, nil
	}
	err := s.stage(write{table: table, key: args[1], value: args[0]})
	return &result{tag: "UPDATE 1"}, err
}

func (s *session) remove(table string, args []string) (*result, error) {
	if _, ok := s.lookup(table, args[0]); !ok {
		return &result{tag: "DELETE 0"}, nil
	}
	err := s.stage(write{table: table, key: args[0], gone: true})
	return &result{tag: "DELETE 1"}, err
}

func (s *session) selectValue(table string, args []string) (*result, error) {
	v, ok := s.lookup(table, args[0])
	if !ok {
		return &result{columns: []string{"value"}, tag: "SELECT 0"}, nil
	}
	return one("value", v), nil
}

func (s *session) selectCount(table string, _ []string) (*result, error) {
	return one("value", strconv.Itoa(s.member.count(table))), nil
}

func (s *session) sleep(seconds string, _ []string) (*result, error) {
	f, err := strconv.ParseFloat(seconds, 64)
	if err != nil {
		return nil, &sqlError{"22P02", "pg_sleep wants a number"}
	}
	select {
	case <-time.After(time.Duration(f * float64(time.Second))):
		return one("value", ""), nil
	case <-s.cancelled:
		return nil, &sqlError{"57014", "canceling statement due to user request"}
	}
}

func (s *session) series(letter string, args []string) (*result, error) {
	width, err := strconv.Atoi(args[0])
	if err != nil {
		return nil, &sqlError{"22P02", "repeat wants a number"}
	}
	n, err := strconv.Atoi(args[1])
	if err != nil {
		return nil, &sqlError{"22P02", "generate_series wants a number"}
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

// commitWrites commits what the transaction staged.
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

// runPlatform executes a control function. Its answer is one text value.
func (s *session) runPlatform(name, list string) (*result, error) {
	args := strings.Split(list, ",")
	for i := range args {
		args[i] = strings.Trim(strings.TrimSpace(args[i]), "'")
	}
	status, err := s.platform(name, args)
	if err != nil {
		return nil, &sqlError{"55000", err.Error()}
	}
	return one("value", fmt.Sprintf("%d %s %s %s", status.Term, status.Role, status.Received, status.Applied)), nil
}

func (s *session) platform(name string, args []string) (Status, error) {
	switch {
	case name == "member_status":
		return s.member.Status(), nil
	case name == "await" && len(args) == 3:
		return s.platformAwait(args)
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
		err = s.server.follow(s.member, term, args[1])
	default:
		err = fmt.Errorf("platform function %s is not known", name)
	}
	return s.member.Status(), err
}

func (s *session) platformAwait(args []string) (Status, error) {
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
