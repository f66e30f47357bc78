package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"wigeontray/internal/tlsconf"
)

type keysCmd struct {
	Fleet fleetKeysCmd `cmd:"" help:"Generate a certificate authority and certificates for entries and guards."`
	Token tokenCmd     `cmd:"" help:"Generate a member's token; its hash goes into the member's record."`
}

type fleetKeysCmd struct {
	Dir  string   `arg:"" help:"Folder to write to; existing files are not changed."`
	Host []string `arg:"" help:"Host names or IP addresses under which entries are reached."`
}

// Run generates the certificate authority and the certificates and writes them to the folder.
func (c *fleetKeysCmd) Run(*commandEnv) error {
	return tlsconf.GenerateFleet(c.Dir, c.Host, time.Now())
}

type tokenCmd struct{}

// Run prints the token and its hash as JSON. The token is not stored anywhere.
func (tokenCmd) Run(e *commandEnv) error {
	token, err := tlsconf.NewToken()
	if err != nil {
		return err
	}
	return json.NewEncoder(e.stdout).Encode(struct {
		Token  string `json:"token"`
		SHA256 string `json:"token_sha256"`
	}{token.Secret, token.Hash})
}

// printBody sends a GET request and prints the response body.
func printBody(ctx context.Context, e *commandEnv, h *http.Client, url string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	resp, err := h.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: %s returned %s", errFailed, url, resp.Status)
	}
	_, err = io.Copy(e.stdout, resp.Body)
	return err
}
