package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"wigeontray/internal/batchnode"
	"wigeontray/internal/client"
	"wigeontray/internal/errkind"
	"wigeontray/internal/tlsconf"
)

// progressInterval is the longest time for which a command prints nothing while it waits (issue 3).
const progressInterval = 2 * time.Second

// memberFlags are the flags for calling entries as a member.
type memberFlags struct {
	Entry     []string `required:"" placeholder:"URL" help:"Base URL of an entry for callers; repeat for more."`
	TokenFile string   `required:"" placeholder:"FILE" help:"File with the member's token."`
	CA        string   `placeholder:"FILE" help:"Certificates that the entries' certificates must chain to."`
}

func (f *memberFlags) client() (*client.Client, error) {
	token, err := readSecret(f.TokenFile)
	if err != nil {
		return nil, err
	}
	httpClient, err := newHTTPClient(f.CA)
	if err != nil {
		return nil, err
	}
	return &client.Client{Entries: f.Entry, Token: token, HTTP: httpClient}, nil
}

// newHTTPClient returns a client that uses no proxy. If ca is set, it trusts the certificates in that
// file.
func newHTTPClient(ca string) (*http.Client, error) {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	if ca != "" {
		conf, err := tlsconf.ExternalClient(tlsconf.Files{CA: ca})
		if err != nil {
			return nil, fmt.Errorf("%w: %w", errUsage, err)
		}
		transport.TLSClientConfig = conf
	}
	return &http.Client{Transport: transport}, nil
}

type submitCmd struct {
	memberFlags
	Service  string        `xor:"what" required:"" help:"Service of the member."`
	Job      string        `xor:"what" required:"" help:"Declared kind of job, instead of a service."`
	Team     string        `help:"Team whose quota is charged."`
	Key      string        `help:"Idempotency key; by default a ticket is fetched. Repeat the command with the same key to query the outcome."`
	Deadline time.Duration `default:"10s" help:"Time limit for the whole answer."`
	Tasks    string        `type:"existingfile" help:"File with a JSON array of task bodies."`
	Task     []string      `arg:"" optional:"" help:"Task bodies as JSON."`
}

// Run submits the job and prints the answer. The exit code is ExitFailed for a failed
// job and ExitUnknown for one whose outcome is unknown.
func (c *submitCmd) Run(e *commandEnv) error {
	tasks, err := c.taskBodies()
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	cl, err := c.client()
	if err != nil {
		return err
	}
	// The answer arrives by the deadline; the extra 5 s allow for resubmissions.
	ctx, cancel := context.WithTimeout(e.ctx, c.Deadline+5*time.Second)
	defer cancel()
	defer e.startProgress("waiting for the answer")()
	key := c.Key
	if key == "" {
		if key, err = cl.FetchTicket(ctx); err != nil {
			return fmt.Errorf("fetch a ticket: %w", err)
		}
	}
	answer, err := cl.Submit(ctx, key, &client.Job{
		Service: c.Service, Job: c.Job, Team: c.Team, DeadlineMs: c.Deadline.Milliseconds(), Tasks: tasks,
	})
	if err != nil {
		return fmt.Errorf("%w: job %s: %w", errOutcomeUnknown, key, err)
	}
	if _, err := fmt.Fprintf(e.stdout, "%s\n", answer.Body); err != nil {
		return err
	}
	return outcomeError(answer)
}

// taskBodies returns the task bodies of the file and of the arguments, in this order.
func (c *submitCmd) taskBodies() ([]json.RawMessage, error) {
	var bodies []json.RawMessage
	if c.Tasks != "" {
		b, err := os.ReadFile(c.Tasks)
		if err != nil {
			return nil, err
		}
		if err := json.Unmarshal(b, &bodies); err != nil {
			return nil, fmt.Errorf("%s: %w", c.Tasks, err)
		}
	}
	for _, t := range c.Task {
		if !json.Valid([]byte(t)) {
			return nil, fmt.Errorf("task %q is not valid JSON", t)
		}
		bodies = append(bodies, json.RawMessage(t))
	}
	if len(bodies) == 0 {
		return nil, fmt.Errorf("no tasks")
	}
	return bodies, nil
}

// outcomeError returns the error that determines the exit code for an answer.
func outcomeError(answer *client.Response) error {
	switch e := answer.Parsed.Error; {
	case e == nil:
		return nil
	case e.Ran == errkind.RanUnknown.String():
		return fmt.Errorf("%w: %s", errOutcomeUnknown, e.Message)
	default:
		return fmt.Errorf("%w: %s", errFailed, e.Message)
	}
}

// startProgress writes activity and the elapsed time to stderr every progressInterval
// until the returned function is called.
func (e *commandEnv) startProgress(activity string) (stop func()) {
	done := make(chan struct{})
	start := time.Now()
	go func() {
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				fmt.Fprintf(e.stderr, "%s, %v so far\n", activity, time.Since(start).Round(time.Second))
			case <-done:
				return
			}
		}
	}()
	return func() { close(done) }
}

type statusCmd struct {
	Admin  string `required:"" placeholder:"URL" help:"Base URL of an entry's listener for operators."`
	CA     string `placeholder:"FILE" help:"Certificates that the entry's certificate must chain to."`
	Shares bool   `help:"Print only the shares of the capacity, as tables; of entries and guards on the users' platform."`
}

// Run prints the entry's status as JSON, or its shares as tables.
func (c *statusCmd) Run(e *commandEnv) error {
	httpClient, err := newHTTPClient(c.CA)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(e.ctx, 10*time.Second)
	defer cancel()
	defer e.startProgress("waiting for the entry")()
	if c.Shares {
		return printShares(ctx, e, httpClient, c.Admin+batchnode.StatusPath)
	}
	return printBody(ctx, e, httpClient, c.Admin+batchnode.StatusPath)
}
