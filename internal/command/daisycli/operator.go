package daisycli

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/wire/daisywire"
)

const (
	requestTimeout = 15 * time.Second // Of a request to a host.
	keyBytes       = 20               // Random bytes in the secret of a key.
	changeIDBytes  = 12               // Random bytes in the ID of a change.
)

// operator holds the flags that all operator commands share.
type operator struct {
	server    string
	tokenFile string
	authority string
	output    string
	changeID  string
	against   uint64
	anonymous bool // No token is sent if no file is given.
}

func (o *operator) flags(c *cobra.Command) {
	f := c.PersistentFlags()
	f.StringVar(&o.server, "server", "https://127.0.0.1:7402", "base URL of any host")
	f.StringVar(&o.tokenFile, "token-file", "", "file with the operator token")
	f.StringVar(&o.authority, "authority", "", "file with the certificate of the fleet's authority")
	f.StringVar(&o.output, "output", "table", "table or json")
}

func (o *operator) changeFlags(c *cobra.Command) {
	c.Flags().StringVar(&o.changeID, "change-id", "", "ID of the change; a change sent again under its ID gets the first outcome")
	c.Flags().Uint64Var(&o.against, "against", 0, "revision that the change was made against; 0 to create")
}

func (o *operator) client() (*http.Client, error) {
	client := &http.Client{Timeout: requestTimeout}
	if o.authority == "" {
		return client, nil
	}
	text, err := os.ReadFile(o.authority)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("%s holds no certificate", o.authority)
	}
	// Hosts are reached by address but their certificates carry names, so the
	// chain is verified and the address is not.
	client.Transport = &http.Transport{TLSClientConfig: &tls.Config{
		MinVersion: tls.VersionTLS12, InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: pool})
			return err
		},
	}}
	return client, nil
}

// call sends a request and decodes the answer. An answer with status 409 is decoded
// too: it holds the outcome of a refused change.
func (o *operator) call(ctx context.Context, method, path string, body, answer any) error {
	client, err := o.client()
	if err != nil {
		return err
	}
	var token []byte
	if !o.anonymous || o.tokenFile != "" {
		if token, err = os.ReadFile(o.tokenFile); err != nil {
			return fmt.Errorf("%w: --token-file: %w", errUsage, err)
		}
	}
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, method, o.server+path, bytes.NewReader(text))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(token)))
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusConflict {
		return fmt.Errorf("%s: %s", response.Status, strings.TrimSpace(string(content)))
	}
	return json.Unmarshal(content, answer)
}

// change sends one operation and prints its outcome. It returns errConflict if
// the operation is refused.
func (o *operator) change(c *cobra.Command, object daisywire.Object) error {
	id := o.changeID
	if id == "" {
		id = "cli-" + randomText(changeIDBytes)
	}
	verb := "put"
	if object.Deleted {
		verb = "removed"
	}
	reason := fmt.Sprintf("operator %s %s %s", verb, object.Kind, object.Name)
	change := daisywire.Change{ID: id, Reason: reason, Operations: []daisywire.Operation{{Against: o.against, Object: object}}}
	var outcome daisywire.Outcome
	if err := o.call(c.Context(), http.MethodPost, "/v1/changes", change, &outcome); err != nil {
		return fmt.Errorf("change %s: %w", id, err)
	}
	if !outcome.Accepted {
		return fmt.Errorf("%w: %s", errConflict, outcome.Message)
	}
	if o.output == "json" {
		return json.NewEncoder(c.OutOrStdout()).Encode(outcome)
	}
	_, err := fmt.Fprintf(c.OutOrStdout(), "%s %s is at revision %d\n", object.Kind, object.Name, outcome.Revision)
	return err
}

// objectKind is a kind of object as the command line names it.
type objectKind struct {
	use      string
	kind     daisyfleet.Kind
	editable bool // Operators may put and delete objects of the kind.
}

var objectKinds = []objectKind{
	{use: "profiles", kind: daisyfleet.KindProfile, editable: true},
	{use: "workspaces", kind: daisyfleet.KindWorkspace, editable: true},
	{use: "databases", kind: daisyfleet.KindDatabase, editable: true},
	{use: "keys", kind: daisyfleet.KindKey},
	{use: "members", kind: daisyfleet.KindMember},
	{use: "hosts", kind: daisyfleet.KindHost},
	{use: "tenures", kind: daisyfleet.KindOwnership},
}

func newOperatorCommands() []*cobra.Command {
	var commands []*cobra.Command
	for _, k := range objectKinds {
		o := &operator{}
		c := &cobra.Command{Use: k.use, Short: "Show or change " + k.use}
		o.flags(c)
		c.AddCommand(newList(o, k))
		if k.editable {
			c.AddCommand(newPut(o, k), newDelete(o, k, "delete"))
		}
		if k.kind == daisyfleet.KindKey {
			c.AddCommand(newGrant(o), newDelete(o, k, "withdraw"))
		}
		commands = append(commands, c)
	}
	return append(commands, newStatus(), newEvacuate())
}

func newList(o *operator, k objectKind) *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "List " + k.use, Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var objects []daisywire.Object
			if err := o.call(c.Context(), http.MethodGet, "/v1/objects/"+string(k.kind), nil, &objects); err != nil {
				return err
			}
			if o.output == "json" {
				return json.NewEncoder(c.OutOrStdout()).Encode(objects)
			}
			return printObjects(c.OutOrStdout(), objects)
		},
	}
}

func printObjects(out io.Writer, objects []daisywire.Object) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "NAME\tREVISION\tVALUE")
	for _, o := range objects {
		value, err := json.Marshal(valueOf(o))
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(w, "%s\t%d\t%s\n", o.Name, o.Revision, value)
	}
	return w.Flush()
}

// valueOf returns the field that holds the value of the object. The hash of a
// key is left out.
func valueOf(o daisywire.Object) any {
	switch {
	case o.Profile != nil:
		return o.Profile
	case o.Workspace != nil:
		return o.Workspace
	case o.Key != nil:
		return map[string]string{"Workspace": o.Key.Workspace}
	case o.Database != nil:
		return o.Database
	case o.Member != nil:
		return o.Member
	case o.Host != nil:
		return o.Host
	}
	return o.Tenure
}

func newPut(o *operator, k objectKind) *cobra.Command {
	var file string
	c := &cobra.Command{
		Use: "put NAME", Short: "Create or replace one of the " + k.use + " from a JSON file", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			text, err := os.ReadFile(file)
			if err != nil {
				return fmt.Errorf("%w: --file: %w", errUsage, err)
			}
			object := daisywire.Object{Kind: string(k.kind), Name: args[0]}
			wrapped := fmt.Sprintf(`{"Kind":%q,"Name":%q,%q:%s}`, k.kind, args[0], k.kind, text)
			d := json.NewDecoder(strings.NewReader(wrapped))
			d.DisallowUnknownFields()
			if err := d.Decode(&object); err != nil {
				return fmt.Errorf("%w: %s: %w", errUsage, file, err)
			}
			return o.change(c, object)
		},
	}
	c.Flags().StringVar(&file, "file", "", "JSON file with the value")
	_ = c.MarkFlagRequired("file")
	o.changeFlags(c)
	return c
}

func newDelete(o *operator, k objectKind, use string) *cobra.Command {
	c := &cobra.Command{
		Use: use + " NAME", Short: "Remove one of the " + k.use, Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return o.change(c, daisywire.Object{Kind: string(k.kind), Name: args[0], Deleted: true})
		},
	}
	o.changeFlags(c)
	return c
}

func newGrant(o *operator) *cobra.Command {
	var id string
	c := &cobra.Command{
		Use: "grant WORKSPACE", Short: "Create a key for a workspace and print it once", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if id == "" {
				id = args[0] + "-" + randomText(4)
			}
			if strings.Contains(id, ".") {
				return fmt.Errorf("%w: the identifier must not contain a dot", errUsage)
			}
			key := id + "." + randomText(keyBytes)
			hash := sha256.Sum256([]byte(key))
			object := daisywire.Object{Kind: string(daisyfleet.KindKey), Name: id, Key: &daisywire.Key{Workspace: args[0], Hash: hash[:]}}
			err := o.change(c, object)
			if err != nil && !errors.Is(err, errConflict) {
				return fmt.Errorf("the key may have been granted; withdraw %s if in doubt: %w", id, err)
			}
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(c.OutOrStdout(), key)
			return err
		},
	}
	c.Flags().StringVar(&id, "id", "", "identifier of the key")
	o.changeFlags(c)
	return c
}

func newStatus() *cobra.Command {
	o := &operator{}
	c := &cobra.Command{
		Use: "status", Short: "Show the status of a host", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var status json.RawMessage
			if err := o.call(c.Context(), http.MethodGet, "/v1/status", nil, &status); err != nil {
				return err
			}
			var indented bytes.Buffer
			if err := json.Indent(&indented, status, "", "  "); err != nil {
				return err
			}
			_, err := fmt.Fprintln(c.OutOrStdout(), strings.TrimSpace(indented.String()))
			return err
		},
	}
	o.flags(c)
	return c
}

func randomText(n int) string {
	b := make([]byte, n)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}
