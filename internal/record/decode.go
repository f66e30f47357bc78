package record

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// ErrSchemaTooNew means that a record was written for a later version of the
// software. The version accepted before it stays in use.
var ErrSchemaTooNew = errors.New("schema is newer than this software understands")

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// Parsed is a valid record. Only the field for its Kind is set.
type Parsed struct {
	Kind    Kind
	Name    string
	Schema  int64
	WriteID string

	Member  *Member
	Service *Service
	Policy  *Policy
	Job     *Job
}

// Parse parses and validates a record. The error joins one FieldError for each
// problem found, or wraps ErrSchemaTooNew.
func Parse(b []byte) (*Parsed, error) {
	if len(b) > MaxSize {
		return nil, &FieldError{Problem: fmt.Sprintf("%d bytes exceed %d", len(b), MaxSize)}
	}
	var errs []error
	o := parseObject("", b, &errs)
	p := &Parsed{Kind: Kind(o.stringField("kind", "")), Name: o.stringField("name", ""), WriteID: o.stringField("write_id", "")}
	p.Schema = o.intField("schema", 0, 1, 1<<31)
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	if err := CheckName(p.Kind, p.Name); err != nil {
		return nil, &FieldError{Problem: err.Error()}
	}
	if err := checkSchema(p); err != nil {
		return nil, err
	}
	p.readFields(o)
	o.checkNoFieldsLeft()
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	return p, nil
}

func checkSchema(p *Parsed) error {
	maxSchema := map[Kind]int64{
		KindMember: maxMemberSchema, KindService: maxServiceSchema, KindPolicy: maxPolicySchema, KindJob: maxJobSchema,
	}[p.Kind]
	if p.Schema == 0 {
		return &FieldError{Path: "schema", Problem: "missing"}
	}
	if p.Schema > maxSchema {
		return fmt.Errorf("schema: %d is above %d: %w", p.Schema, maxSchema, ErrSchemaTooNew)
	}
	return nil
}

func (p *Parsed) readFields(o *objectReader) {
	switch p.Kind {
	case KindMember:
		p.Member = readMember(o, p.Name)
	case KindService:
		p.Service = readService(o, p.Name, p.Schema)
	case KindPolicy:
		p.Policy = readPolicy(o, p.Name)
	case KindJob:
		p.Job = readJob(o, p.Name, p.Schema)
	}
}

// ParseAs is like Parse but requires the given kind and name.
func ParseAs(kind Kind, name string, b []byte) (*Parsed, error) {
	p, err := Parse(b)
	if err != nil {
		return nil, err
	}
	if p.Kind != kind || p.Name != name {
		return nil, &FieldError{Path: "name", Problem: fmt.Sprintf("%s %q stands in the place of %s %q", p.Kind, p.Name, kind, name)}
	}
	return p, nil
}

// WithWriteID returns the record b with its write ID set to id. A writer that got
// no response recognises its write by the ID when it reads the record back.
// Numbers keep their original notation.
func WithWriteID(b []byte, id string) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(b, &fields); err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	quoted, err := json.Marshal(id)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	fields["write_id"] = quoted
	out := new(bytes.Buffer)
	enc := json.NewEncoder(out)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(fields); err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	return bytes.TrimSuffix(out.Bytes(), []byte("\n")), nil
}

// WriteID returns the write ID of a record of any schema; empty if it has none.
func WriteID(b []byte) string {
	var r struct {
		WriteID string `json:"write_id"`
	}
	if json.Unmarshal(b, &r) != nil {
		return ""
	}
	return r.WriteID
}
