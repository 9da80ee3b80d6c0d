package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"seamloom.example/seamloom/internal/failure"
)

// The exit codes of the operators' subcommands, for scripts; 2 is wrong use.
const (
	exitRefused     = 1
	exitUnknown     = 3 // the change may or may not have been accepted
	exitUnreachable = 4 // no controller was reached, or none is primary
)

// exitError ends a subcommand with a code that scripts can tell apart:
// exitRefused, exitUnknown or exitUnreachable.
type exitError struct {
	code    int
	message string
}

// Error is the text for the operator; the exit code tells scripts what it is.
func (e *exitError) Error() string { return e.message }

// operator speaks to one of the controllers.
type operator struct {
	addresses []string
	timeout   time.Duration
	client    *http.Client
}

func operatorCommands() []*cobra.Command {
	get := subcommand("get", "print the configuration in force and its version", cobra.NoArgs, func(operator *operator, command *cobra.Command, _ []string) error {
		return operator.call(http.MethodGet, "/v1/configuration", nil, nil)
	})
	status := subcommand("status", "who leads, who is there, flags, duties, orders, and what lags", cobra.NoArgs, func(o *operator, command *cobra.Command, _ []string) error {
		asJSON, _ := command.Flags().GetBool("json")
		return o.showStatus(asJSON)
	})
	status.Flags().Bool("json", false, "print all of it as JSON, for scripts")
	put := subcommand("put FILE", "replace the whole configuration; - reads standard input", cobra.ExactArgs(1), func(op *operator, command *cobra.Command, arguments []string) error {
		return op.change(command, http.MethodPut, arguments[0])
	})
	patch := subcommand("patch FILE", "merge a partial configuration (RFC 7396); - reads standard input", cobra.ExactArgs(1), func(opr *operator, command *cobra.Command, arguments []string) error {
		return opr.change(command, http.MethodPatch, arguments[0])
	})
	for _, command := range []*cobra.Command{put, patch} {
		command.Flags().String("expected", "", "the version that is changed, such as 2.9 (default: the one in force now)")
		command.Flags().Int64("builds-on", -1, "the revision that is changed, in the place of a version; the file gives a higher one")
		command.Flags().String("change", "", "an id for this change, to ask for it later (default: a new one)")
	}
	evacuate := subcommand("evacuate DISTRICT", "keep new work out of a zone's servers", cobra.ExactArgs(1), func(ope *operator, command *cobra.Command, arguments []string) error {
		reason, _ := command.Flags().GetString("reason")
		body, err := json.Marshal(map[string]string{"reason": reason})
		if err != nil {
			return failure.Wrap(failure.Malformed, err)
		}
		return ope.call(http.MethodPost, "/v1/evacuations/"+url.PathEscape(arguments[0]), zoneOrderQuery(command), body)
	})
	evacuate.Flags().String("reason", "", "why, for other operators")
	restore := subcommand("restore DISTRICT", "lift a zone's evacuation", cobra.ExactArgs(1), func(aOperator *operator, command *cobra.Command, arguments []string) error {
		return aOperator.call(http.MethodDelete, "/v1/evacuations/"+url.PathEscape(arguments[0]), zoneOrderQuery(command), nil)
	})
	for _, command := range []*cobra.Command{evacuate, restore} {
		command.Flags().String("expected", "", "the version of the configuration that the order was decided on, such as 2.9 (default: any)")
	}
	change := subcommand("change ID", "find out what became of a change with an unknown outcome", cobra.ExactArgs(1), func(operator *operator, command *cobra.Command, arguments []string) error {
		return operator.call(http.MethodGet, "/v1/changes/"+url.PathEscape(arguments[0]), nil, nil)
	})
	retire := subcommand("retire NODE", "take a stopped node that will not come back out of the record", cobra.ExactArgs(1), func(operator *operator, command *cobra.Command, arguments []string) error {
		return operator.call(http.MethodPost, "/v1/members/"+url.PathEscape(arguments[0])+"/retire", nil, nil)
	})
	flags := subcommand("flags [NAME]", "list the feature flags, or explain one: who lacks it, and why it is not enabled yet", cobra.MaximumNArgs(1), func(operator *operator, command *cobra.Command, arguments []string) error {
		query := url.Values{}
		if len(arguments) == 1 {
			query.Set("name", arguments[0])
		}
		return operator.call(http.MethodGet, "/v1/flags", query, nil)
	})
	return []*cobra.Command{get, status, put, patch, evacuate, restore, change, retire, flags, tenantsCommand(), usageCommand()}
}

// zoneOrderQuery gives an order on a zone its id, and the version that it was decided on, if one is
// named.
func zoneOrderQuery(command *cobra.Command) url.Values {
	query := newChange()
	if expected, _ := command.Flags().GetString("expected"); expected != "" {
		query.Set("expected", expected)
	}
	return query
}

func newChange() url.Values { return url.Values{"change": {uuid.NewString()}} }

func subcommand(use, short string, arguments cobra.PositionalArgs, run func(*operator, *cobra.Command, []string) error) *cobra.Command {
	command := &cobra.Command{Use: use, Short: short, Args: arguments}
	to := command.Flags().String("to", "127.0.0.1:7101", "addresses of expediters, with commas between; each is tried")
	timeout := command.Flags().Duration("patience", 12*time.Second, "how long to wait for the answer")
	command.RunE = func(command *cobra.Command, arguments []string) error {
		return run(&operator{addresses: strings.Split(*to, ","), timeout: *timeout, client: &http.Client{Timeout: *timeout}}, command, arguments)
	}
	return command
}

func (o *operator) change(command *cobra.Command, method, path string) error {
	var body []byte
	var err error
	if path == "-" {
		body, err = io.ReadAll(os.Stdin)
	} else {
		body, err = os.ReadFile(path)
	}
	if err != nil {
		return failure.At(failure.Missing, path, err.Error())
	}
	if revision, _ := command.Flags().GetInt64("builds-on"); revision >= 0 {
		// Its content is its id: sent again, it is the same change.
		return o.call(method, "/v1/configuration", url.Values{"builds_on": {strconv.FormatInt(revision, 10)}}, body)
	}
	query := newChange()
	if id, _ := command.Flags().GetString("change"); id != "" {
		query.Set("change", id)
	}
	expected, _ := command.Flags().GetString("expected")
	if expected == "" {
		a, err := o.ask(http.MethodGet, "/v1/configuration", nil, nil)
		if err != nil {
			return err
		}
		var current struct {
			Version string `json:"version"`
		}
		if err := json.Unmarshal(a.body, &current); err != nil || current.Version == "" {
			return o.show(a)
		}
		expected = current.Version
	}
	query.Set("expected", expected)
	return o.call(method, "/v1/configuration", query, body)
}

type response struct {
	status int
	body   []byte
}

// ask tries one controller after another, but goes on only when the call
// certainly changed nothing.
func (o *operator) ask(method, path string, query url.Values, body []byte) (response, error) {
	last := "no address"
	for _, address := range o.addresses {
		request, err := http.NewRequest(method, "http://"+address+path+"?"+query.Encode(), bytes.NewReader(body))
		if err != nil {
			return response{}, failure.Wrap(failure.Malformed, err)
		}
		received, err := o.client.Do(request)
		if err != nil {
			last = err.Error()
			if method == http.MethodGet || strings.Contains(last, "connection refused") {
				continue
			}
			how := "; ask with: controller change " + query.Get("change")
			if query.Get("change") == "" {
				how = "; send the same change again"
			}
			return response{}, &exitError{code: exitUnknown, message: printError("the outcome is unknown: " + last + how)}
		}
		content, err := io.ReadAll(received.Body)
		_ = received.Body.Close()
		if err != nil {
			return response{}, &exitError{code: exitUnknown, message: printError("the answer broke off: " + err.Error())}
		}
		return response{status: received.StatusCode, body: content}, nil
	}
	return response{}, &exitError{code: exitUnreachable, message: printError("no controller was reached: " + last)}
}

func printError(text string) string {
	_, _ = io.WriteString(os.Stderr, text+"\n")
	return text
}

func (o *operator) call(method, path string, query url.Values, body []byte) error {
	a, err := o.ask(method, path, query, body)
	if err != nil {
		return err
	}
	return o.show(a)
}

func (o *operator) show(a response) error {
	var indented bytes.Buffer
	if json.Indent(&indented, a.body, "", "  ") != nil {
		indented.Reset()
		indented.Write(a.body)
	}
	_, _ = os.Stdout.WriteString(strings.TrimRight(indented.String(), "\n") + "\n")
	switch {
	case a.status < 300:
		return nil
	case a.status == http.StatusServiceUnavailable && bytes.Contains(a.body, []byte(`"unknown"`)):
		return &exitError{code: exitUnknown, message: "unknown outcome"}
	case a.status == http.StatusServiceUnavailable:
		return &exitError{code: exitUnreachable, message: "no primary"}
	}
	return &exitError{code: exitRefused, message: "status " + strconv.Itoa(a.status)}
}
