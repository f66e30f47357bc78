package cli

import (
	"fmt"
	"os"

	"wigeontray/internal/operator"
	"wigeontray/internal/record"
)

type recordCmd struct {
	Get    recordGetCmd    `cmd:"" help:"Print one record."`
	List   recordListCmd   `cmd:"" help:"Print all records that the token may read."`
	Put    recordPutCmd    `cmd:"" help:"Write a record unless its revision has changed."`
	Delete recordDeleteCmd `cmd:"" help:"Delete a record unless its revision has changed."`
}

// operatorFlags are the flags for calling an entry as an operator.
type operatorFlags struct {
	Entry     string `required:"" placeholder:"URL" help:"Base URL of an entry for callers."`
	TokenFile string `required:"" placeholder:"FILE" help:"File with the token of the member or of the consortium's operator."`
	CA        string `placeholder:"FILE" help:"Certificates that the entry's certificate must chain to."`
}

func (f *operatorFlags) client() (*operator.Client, error) {
	token, err := readSecret(f.TokenFile)
	if err != nil {
		return nil, err
	}
	httpClient, err := newHTTPClient(f.CA)
	if err != nil {
		return nil, err
	}
	return operator.New(operator.Options{Address: f.Entry, Token: token, Transport: httpClient.Transport}), nil
}

// printResult prints v as JSON, or returns err if the call failed.
func printResult[T any](e *commandEnv, v T, err error) error {
	if err != nil {
		return err
	}
	return operator.WriteJSON(e.stdout, v)
}

type recordGetCmd struct {
	operatorFlags
	Kind record.Kind `arg:"" help:"member, service, policy or job."`
	Name string      `arg:"" help:"Name of the record."`
}

// Run prints the record with its revision.
func (c *recordGetCmd) Run(e *commandEnv) error {
	cl, err := c.client()
	if err != nil {
		return err
	}
	defer e.startProgress("waiting for the entry")()
	r, err := cl.Get(e.ctx, c.Kind, c.Name)
	return printResult(e, r, err)
}

type recordListCmd struct {
	operatorFlags
	Kind record.Kind `help:"Only this kind."`
}

// Run prints the records.
func (c *recordListCmd) Run(e *commandEnv) error {
	cl, err := c.client()
	if err != nil {
		return err
	}
	defer e.startProgress("waiting for the entry")()
	l, err := cl.List(e.ctx, c.Kind)
	return printResult(e, l, err)
}

type recordPutCmd struct {
	operatorFlags
	File     string `arg:"" type:"existingfile" help:"File with the record."`
	Revision int64  `help:"Current revision of the record; 0 for a record that does not exist yet."`
}

// Run writes the record and prints its new revision.
func (c *recordPutCmd) Run(e *commandEnv) error {
	b, err := os.ReadFile(c.File)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	cl, err := c.client()
	if err != nil {
		return err
	}
	defer e.startProgress("waiting for the entry")()
	r, err := cl.Put(e.ctx, b, c.Revision)
	return printResult(e, r, err)
}

type recordDeleteCmd struct {
	operatorFlags
	Kind     record.Kind `arg:"" help:"member, service, policy or job."`
	Name     string      `arg:"" help:"Name of the record."`
	Revision int64       `required:"" help:"Current revision of the record."`
}

// Run deletes the record.
func (c *recordDeleteCmd) Run(e *commandEnv) error {
	cl, err := c.client()
	if err != nil {
		return err
	}
	defer e.startProgress("waiting for the entry")()
	r, err := cl.Delete(e.ctx, c.Kind, c.Name, c.Revision)
	return printResult(e, r, err)
}
