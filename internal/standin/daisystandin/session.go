package daisystandin

import (
	"errors"
	"net"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/daisyglade/daisyglade/internal/domain/daisystream"
)

// textOID is the OID of the PostgreSQL type text.
const textOID = 25

var errCopyEnded = errors.New("unexpected message during COPY from stdin")

// session is one connection to a member.
type session struct {
	group     *Group
	member    *Member
	conn      net.Conn
	out       *output
	backend   *pgproto3.Backend
	term      uint64 // The term for which the connection was opened; 0 if none was given.
	pid       uint32
	status    daisystream.Status
	readOnly  bool
	failed    bool // Discards messages until Sync.
	writes    []write
	committed daisystream.Position // Of a commit that was not reported yet.
	prepared  map[string]string
	portals   map[string]portal
	settings  map[string]string
	cancelled chan struct{}
}

type portal struct {
	sql    string
	params []string
}

// reset ends the transaction and discards its writes.
func (s *session) reset() {
	s.status = daisystream.StatusIdle
	s.readOnly = false
	s.writes = nil
}

// startup answers the startup packet. It returns false if the connection must be
// closed.
func (s *session) startup() bool {
	message, err := s.backend.ReceiveStartupMessage()
	if err != nil {
		return false
	}
	switch m := message.(type) {
	case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
		if _, err := s.conn.Write([]byte{'N'}); err != nil {
			return false
		}
		return s.startup()
	case *pgproto3.CancelRequest:
		s.group.cancel(m.ProcessID)
		return false
	case *pgproto3.StartupMessage:
		return s.authenticate(m)
	}
	return false
}

func (s *session) authenticate(m *pgproto3.StartupMessage) bool {
	s.term, _ = strconv.ParseUint(m.Parameters["platform.term"], 10, 64)
	s.backend.Send(&pgproto3.AuthenticationCleartextPassword{})
	if s.backend.Flush() != nil {
		return false
	}
	reply, err := s.backend.Receive()
	if err != nil {
		return false
	}
	password, ok := reply.(*pgproto3.PasswordMessage)
	if !ok || !s.group.checkCredentials(m.Parameters["user"], password.Password) {
		s.group.refusedLogins.Add(1)
		s.sendError(&sqlError{"28P01", "password authentication failed"})
		_ = s.backend.Flush()
		return false
	}
	if !s.group.admit(s) {
		s.sendError(&sqlError{"53300", "connection limit is reached or the term is older than the member's"})
		_ = s.backend.Flush()
		return false
	}
	s.backend.Send(&pgproto3.AuthenticationOk{})
	s.backend.Send(&pgproto3.ParameterStatus{Name: "server_version", Value: "16.0"})
	s.backend.Send(&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"})
	s.backend.Send(&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"})
	key := []byte{byte(s.pid >> 24), byte(s.pid >> 16), byte(s.pid >> 8), byte(s.pid)}
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: key})
	s.ready()
	return s.backend.Flush() == nil
}

// serve answers messages until the connection ends.
func (s *session) serve() {
	s.out.forget()
	for {
		message, err := s.backend.Receive()
		if err != nil {
			return
		}
		if _, end := message.(*pgproto3.Terminate); end {
			return
		}
		s.handle(message)
		if s.backend.Flush() != nil {
			return
		}
		switch message.(type) {
		case *pgproto3.Query, *pgproto3.Sync:
			s.out.endAnswer()
		}
	}
}

func (s *session) handle(message pgproto3.FrontendMessage) {
	switch m := message.(type) {
	case *pgproto3.Query:
		s.query(m.String)
	case *pgproto3.Sync:
		s.sync()
	default:
		if s.failed {
			return
		}
		if err := s.extended(message); err != nil {
			s.fail(err)
			s.failed = true
		}
	}
}

func (s *session) sync() {
	if !s.failed && s.status == daisystream.StatusIdle {
		if err := s.commitWrites(); err != nil {
			s.fail(err)
		}
	}
	s.failed = false
	if s.status == daisystream.StatusIdle {
		s.reset()
	}
	s.ready()
}

func (s *session) query(sql string) {
	for _, statement := range strings.Split(strings.TrimRight(strings.TrimSpace(sql), ";"), ";") {
		r, err := s.run(statement, nil)
		if err == nil {
			err = s.send(r, true)
		}
		if err != nil {
			s.fail(err)
			s.ready()
			return
		}
	}
	s.sync()
}

func (s *session) extended(message pgproto3.FrontendMessage) error {
	switch m := message.(type) {
	case *pgproto3.Parse:
		if _, ok := s.prepared[m.Name]; ok && m.Name != "" {
			return &sqlError{"42P05", "prepared statement already exists: " + m.Name}
		}
		if err := s.checkAborted(m.Query); err != nil {
			return err
		}
		s.prepared[m.Name] = m.Query
		s.backend.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		return s.bind(m)
	case *pgproto3.Describe:
		return s.describe(m)
	case *pgproto3.Execute:
		p, ok := s.portals[m.Portal]
		if !ok {
			return &sqlError{"34000", "portal does not exist"}
		}
		r, err := s.run(p.sql, p.params)
		if err != nil {
			return err
		}
		return s.send(r, false)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(s.prepared, m.Name)
		}
		s.backend.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Flush, *pgproto3.CopyFail, *pgproto3.CopyDone, *pgproto3.CopyData:
	default:
		return &sqlError{"08P01", "message type is not supported"}
	}
	return nil
}

// copyIn asks for the data of a COPY and fails. Like PostgreSQL, it closes the connection
// at a message that is no part of the data.
func (s *session) copyIn() error {
	s.backend.Send(&pgproto3.CopyInResponse{})
	if err := s.backend.Flush(); err != nil {
		return err
	}
	for {
		message, err := s.backend.Receive()
		if err != nil {
			return err
		}
		switch m := message.(type) {
		case *pgproto3.CopyData, *pgproto3.Flush, *pgproto3.Sync:
		case *pgproto3.CopyDone:
			return &sqlError{"0A000", "COPY is not supported"}
		case *pgproto3.CopyFail:
			return &sqlError{"57014", "COPY from stdin failed: " + m.Message}
		default:
			_ = s.conn.Close()
			return errCopyEnded
		}
	}
}

func (s *session) bind(m *pgproto3.Bind) error {
	sql, ok := s.prepared[m.PreparedStatement]
	if !ok {
		return &sqlError{"26000", "prepared statement does not exist: " + m.PreparedStatement}
	}
	p := portal{sql: sql}
	for _, v := range m.Parameters {
		p.params = append(p.params, string(v))
	}
	s.portals[m.DestinationPortal] = p
	s.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (s *session) describe(m *pgproto3.Describe) error {
	if m.ObjectType == 'P' {
		p, ok := s.portals[m.Name]
		if !ok {
			return &sqlError{"34000", "portal does not exist"}
		}
		s.describeRows(columns(p.sql))
		return nil
	}
	sql, ok := s.prepared[m.Name]
	if !ok {
		return &sqlError{"26000", "prepared statement does not exist: " + m.Name}
	}
	oids := make([]uint32, paramCount(sql))
	for i := range oids {
		oids[i] = textOID
	}
	s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: oids})
	s.describeRows(columns(sql))
	return nil
}

func (s *session) describeRows(names []string) {
	if names == nil {
		s.backend.Send(&pgproto3.NoData{})
		return
	}
	var d pgproto3.RowDescription
	for _, n := range names {
		d.Fields = append(d.Fields, pgproto3.FieldDescription{Name: []byte(n), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1})
	}
	s.backend.Send(&d)
}

// rowsPerFlush is the number of rows after which the output is flushed.
const rowsPerFlush = 64

// send writes a result and flushes it every rowsPerFlush rows.
func (s *session) send(r *result, describe bool) (err error) {
	if r.tag == "" {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if describe && r.columns != nil {
		s.describeRows(r.columns)
	}
	if r.rows != nil {
		n := 0
		r.rows(func(text string) bool {
			s.backend.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(text)}})
			if n++; n%rowsPerFlush == 0 {
				err = s.backend.Flush()
			}
			return err == nil
		})
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(r.tag)})
	return err
}

func (s *session) fail(err error) {
	s.writes = nil
	if s.status == daisystream.StatusOpen {
		s.status = daisystream.StatusFailed
	}
	s.sendError(err)
}

func (s *session) sendError(err error) {
	var e *sqlError
	if !errors.As(err, &e) {
		e = &sqlError{"XX000", err.Error()}
	}
	s.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: e.code, Message: e.message})
}

// ready sends the position of a commit that was not reported yet, if there is one,
// and then ReadyForQuery.
func (s *session) ready() {
	if !s.committed.IsZero() {
		s.backend.Send(&pgproto3.ParameterStatus{Name: "platform.position", Value: s.committed.String()})
		s.committed = daisystream.Position{}
	}
	if s.status == 0 {
		s.status = daisystream.StatusIdle
	}
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: byte(s.status)})
}
