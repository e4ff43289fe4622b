package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/verbenastep/verbenastep/api/client"
)

// callerTarget holds the addresses of the entries that a caller's command uses.
type callerTarget struct {
	addresses string
}

func (t *callerTarget) registerFlags(f *flag.FlagSet) {
	f.StringVar(&t.addresses, "entry", "127.0.0.1:7101", "callers' `ADDRESSES` of daemons to ask for the directory, comma-separated")
}

func whereCommand() *Command {
	t := &callerTarget{}
	return &Command{
		Name: "where", Summary: "show which entries callers may use, and for how long", Example: "verbenastep where -entry 127.0.0.1:7101",
		Flags: t.registerFlags,
		Run: func(ctx context.Context, std IO, _ []string) error {
			c := client.Caller{Entries: splitAddresses(t.addresses)}
			d, err := c.Directory(ctx)
			if err != nil {
				return err
			}
			if std.JSON {
				return printJSON(std.Out, d)
			}
			for _, a := range d.Addresses {
				fmt.Fprintln(std.Out, a)
			}
			fmt.Fprintf(std.Err, "good for %s\n", plural(d.Seconds, "second"))
			return nil
		},
	}
}

// sendOptions holds the flags of the send command.
type sendOptions struct {
	target    callerTarget
	key       string
	id        string
	model     string
	service   string
	method    string
	path      string
	data      string
	form      string
	maxTokens int
	stream    bool
	resume    string
	offset    int64
}

func sendCommand() *Command {
	s := &sendOptions{}
	return &Command{
		Name: "send", Summary: "send a request as a caller: a model's completion or a service's call", Args: "[PROMPT]",
		Example: `verbenastep send -model logbook-model -stream "Who owned chassis 1234 in 1961?"`,
		Flags:   s.registerFlags,
		Run:     s.run,
	}
}

func (s *sendOptions) registerFlags(f *flag.FlagSet) {
	s.target.registerFlags(f)
	f.StringVar(&s.key, "workspace", "", "the workspace's `KEY`; better given in "+workspaceKeyEnv)
	f.StringVar(&s.id, "id", "", "the request's own `KEY`, sent as Idempotency-Key; a resend with it never runs twice")
	f.StringVar(&s.model, "model", "", "`NAME` of the model to ask")
	f.StringVar(&s.form, "form", "chat", "chat or text")
	f.IntVar(&s.maxTokens, "max-tokens", 0, "most tokens of the answer; 0 leaves it to the system")
	f.BoolVar(&s.stream, "stream", false, "show the answer as it comes; a lost connection is taken up at another entry")
	f.StringVar(&s.service, "service", "", "`NAME` of the plain service to call")
	f.StringVar(&s.method, "method", http.MethodGet, "the call's method")
	f.StringVar(&s.path, "path", "/", "the call's path below the service, with the query")
	f.StringVar(&s.data, "data", "", "the call's body; \"-\" reads it from standard input")
	f.StringVar(&s.resume, "resume", "", "pick up the answer of the request with this `KEY`")
	f.Int64Var(&s.offset, "offset", 0, "where to pick it up, in bytes")
}

// sendResult is the output of the send command.
type sendResult struct {
	Key     string `json:"key"`
	Entry   string `json:"entry"`
	Status  int    `json:"status,omitempty"`
	Text    string `json:"text"`
	Finish  string `json:"finish,omitempty"`
	Resumed int    `json:"resumed,omitempty"`
}

func (s *sendOptions) run(ctx context.Context, std IO, args []string) error {
	modes := 0
	for _, v := range []string{s.model, s.service, s.resume} {
		if v != "" {
			modes++
		}
	}
	if modes != 1 {
		return &usageError{problem: "give one of -model, -service and -resume"}
	}
	c := &client.Caller{Entries: splitAddresses(s.target.addresses), Key: valueOrEnv(s.key, workspaceKeyEnv)}
	switch {
	case s.resume != "":
		return s.printStream(std, func(fn func(string)) (*client.Stream, error) { return c.PickUp(ctx, s.resume, s.offset, fn) })
	case s.service != "":
		return s.callService(ctx, std, c)
	}
	r, err := s.completionRequest(args)
	if err != nil {
		return err
	}
	if s.stream {
		return s.printStream(std, func(fn func(string)) (*client.Stream, error) { return c.Stream(ctx, r, fn) })
	}
	return s.sendWhole(ctx, std, c, r)
}

func (s *sendOptions) completionRequest(args []string) (client.Request, error) {
	prompt := strings.Join(args, " ")
	if prompt == "" {
		return client.Request{}, &usageError{problem: "give a prompt"}
	}
	form := client.Form(s.form)
	if form != client.Chat && form != client.Text {
		return client.Request{}, &usageError{problem: fmt.Sprintf("-form is %q; write chat or text", s.form)}
	}
	c := client.Completion{Form: form, Model: s.model, Prompt: prompt, MaxTokens: s.maxTokens, Stream: s.stream}
	return c.Request(s.id), nil
}

// printStream prints the text of a stream as it arrives. Where the stream breaks
// off, it prints the flags that resume it.
func (s *sendOptions) printStream(std IO, open func(fn func(string)) (*client.Stream, error)) error {
	printText := func(text string) {
		if !std.JSON {
			_, _ = io.WriteString(std.Out, text)
		}
	}
	st, err := open(printText)
	if err != nil {
		if st != nil && len(st.Text) > 0 {
			fmt.Fprintf(std.Err, "\nthe answer broke off after %d bytes; pick it up with -resume %s -offset %d\n", len(st.Text), st.Key, s.offset+int64(len(st.Text)))
		}
		return err
	}
	if std.JSON {
		return printJSON(std.Out, sendResult{Key: st.Key, Entry: st.Entry, Status: http.StatusOK, Text: st.Text, Finish: st.Finish, Resumed: st.Resumed})
	}
	fmt.Fprintln(std.Out)
	fmt.Fprintf(std.Err, "request %s, ended by %s at %s\n", st.Key, st.Finish, st.Entry)
	return nil
}

func (s *sendOptions) sendWhole(ctx context.Context, std IO, c *client.Caller, r client.Request) error {
	reply, err := c.Do(ctx, r)
	if err != nil {
		return err
	}
	out := sendResult{Key: reply.Key, Entry: reply.Entry, Status: reply.Status}
	if out.Text, out.Finish, err = reply.Completion(); err != nil {
		return err
	}
	return printSendResult(std, out)
}

func (s *sendOptions) callService(ctx context.Context, std IO, c *client.Caller) error {
	body := []byte(s.data)
	if s.data == "-" {
		read, err := io.ReadAll(std.In)
		if err != nil {
			return err
		}
		body = read
	}
	r := client.Request{Method: s.method, Path: "/services/" + s.service + "/" + strings.TrimPrefix(s.path, "/"), Body: body, Key: s.id}
	reply, err := c.Do(ctx, r)
	if err != nil {
		return err
	}
	out := sendResult{Key: reply.Key, Entry: reply.Entry, Status: reply.Status, Text: string(reply.Body)}
	if err := printSendResult(std, out); err != nil {
		return err
	}
	if reply.Status >= http.StatusBadRequest {
		return fmt.Errorf("the service answered with status %d", reply.Status)
	}
	return nil
}

func printSendResult(std IO, out sendResult) error {
	if std.JSON {
		return printJSON(std.Out, out)
	}
	fmt.Fprintln(std.Out, strings.TrimSuffix(out.Text, "\n"))
	fmt.Fprintf(std.Err, "request %s, answered by %s\n", out.Key, out.Entry)
	return nil
}
