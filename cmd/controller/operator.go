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

// The exit codes of the operators' subcommands. Scripts use them to distinguish the results. Code 2 means
// invalid arguments.
const (
	exitRefused     = 1
	exitUnknown     = 3 // the change may or may not have been accepted
	exitUnreachable = 4 // no controller responded, or none is primary
)

// exitError ends a subcommand with the exit code exitRefused, exitUnknown or exitUnreachable.
type exitError struct {
	code    int
	message string
}

// Error returns the message for the operator; scripts use the exit code.
func (e *exitError) Error() string { return e.message }

// operator sends an operator's requests to the controllers at addresses.
type operator struct {
	addresses []string
	timeout   time.Duration
	client    *http.Client
}

// operatorCommands returns all subcommands except serve.
func operatorCommands() []*cobra.Command {
	get := subcommand("get", "print the configuration in force and its version", cobra.NoArgs,
		func(o *operator, command *cobra.Command, _ []string) error {
			return o.call(http.MethodGet, "/v1/configuration", nil, nil)
		})
	status := subcommand("status", "print the primary, the members, feature flags, roles, orders and lagging routers", cobra.NoArgs,
		func(o *operator, command *cobra.Command, _ []string) error {
			asJSON, _ := command.Flags().GetBool("json")
			return o.showStatus(asJSON)
		})
	status.Flags().Bool("json", false, "print the complete status as JSON, for scripts")
	put := subcommand("put FILE", "replace the complete configuration; - reads standard input", cobra.ExactArgs(1),
		func(o *operator, command *cobra.Command, arguments []string) error {
			return o.change(command, http.MethodPut, arguments[0])
		})
	patch := subcommand("patch FILE", "apply a merge patch (RFC 7396) to the configuration; - reads standard input", cobra.ExactArgs(1),
		func(o *operator, command *cobra.Command, arguments []string) error {
			return o.change(command, http.MethodPatch, arguments[0])
		})
	for _, command := range []*cobra.Command{put, patch} {
		command.Flags().String("expected", "", "the version to change, such as 2.9 (default: the version in force)")
		command.Flags().Int64("builds-on", -1, "the revision to change, instead of a version; the file must set a higher revision")
		command.Flags().String("change", "", "an id for this change, to query its outcome later (default: a new id)")
	}
	evacuate := subcommand("evacuate ZONE", "send no new requests to the servers of a zone", cobra.ExactArgs(1),
		func(o *operator, command *cobra.Command, arguments []string) error {
			reason, _ := command.Flags().GetString("reason")
			body, err := json.Marshal(map[string]string{"reason": reason})
			if err != nil {
				return failure.Wrap(failure.Malformed, err)
			}
			return o.call(http.MethodPost, "/v1/evacuations/"+url.PathEscape(arguments[0]), zoneOrderQuery(command), body)
		})
	evacuate.Flags().String("reason", "", "the reason, as information for other operators")
	restore := subcommand("restore ZONE", "end the evacuation of a zone", cobra.ExactArgs(1),
		func(o *operator, command *cobra.Command, arguments []string) error {
			return o.call(http.MethodDelete, "/v1/evacuations/"+url.PathEscape(arguments[0]), zoneOrderQuery(command), nil)
		})
	for _, command := range []*cobra.Command{evacuate, restore} {
		command.Flags().String("expected", "", "the version of the configuration that must be in force, such as 2.9 (default: any)")
	}
	change := subcommand("change ID", "query the result of a change whose outcome is unknown", cobra.ExactArgs(1),
		func(o *operator, command *cobra.Command, arguments []string) error {
			return o.call(http.MethodGet, "/v1/changes/"+url.PathEscape(arguments[0]), nil, nil)
		})
	retire := subcommand("retire NODE", "remove a permanently stopped node from the recorded members", cobra.ExactArgs(1),
		func(o *operator, command *cobra.Command, arguments []string) error {
			return o.call(http.MethodPost, "/v1/members/"+url.PathEscape(arguments[0])+"/retire", nil, nil)
		})
	flags := subcommand("flags [NAME]", "list the feature flags, or explain which nodes lack a flag and why it is not enabled yet",
		cobra.MaximumNArgs(1), func(o *operator, command *cobra.Command, arguments []string) error {
			query := url.Values{}
			if len(arguments) == 1 {
				query.Set("name", arguments[0])
			}
			return o.call(http.MethodGet, "/v1/flags", query, nil)
		})
	return []*cobra.Command{get, status, put, patch, evacuate, restore, change, retire, flags, tenantsCommand(), usageCommand()}
}

// zoneOrderQuery returns the query of a request to evacuate or restore a zone: a new change id, and the
// expected version if the flag is set.
func zoneOrderQuery(command *cobra.Command) url.Values {
	query := newChange()
	if expected, _ := command.Flags().GetString("expected"); expected != "" {
		query.Set("expected", expected)
	}
	return query
}

// newChange returns a query with a new change id.
func newChange() url.Values { return url.Values{"change": {uuid.NewString()}} }

// subcommand makes a subcommand whose run function gets an operator for the controllers named by --to.
func subcommand(
	use, short string, arguments cobra.PositionalArgs, run func(*operator, *cobra.Command, []string) error,
) *cobra.Command {
	command := &cobra.Command{Use: use, Short: short, Args: arguments}
	to := command.Flags().String("to", "127.0.0.1:7101", "comma-separated addresses of controllers, tried in this order")
	timeout := command.Flags().Duration("patience", 12*time.Second, "how long to wait for the response of a controller")
	command.RunE = func(command *cobra.Command, arguments []string) error {
		return run(&operator{
			addresses: strings.Split(*to, ","),
			timeout:   *timeout,
			client:    &http.Client{Timeout: *timeout},
		}, command, arguments)
	}
	return command
}

// change sends the configuration or patch in a file. Unless --builds-on is set, the request contains a change id
// and the version to change: that of --expected, or else the version in force.
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
		// Controllers identify this change by its content, so it needs no id and can be sent again.
		return o.call(method, "/v1/configuration", url.Values{"builds_on": {strconv.FormatInt(revision, 10)}}, body)
	}
	query := newChange()
	if id, _ := command.Flags().GetString("change"); id != "" {
		query.Set("change", id)
	}
	expected, _ := command.Flags().GetString("expected")
	if expected == "" {
		received, err := o.send(http.MethodGet, "/v1/configuration", nil, nil)
		if err != nil {
			return err
		}
		var current struct {
			Version string `json:"version"`
		}
		if err := json.Unmarshal(received.body, &current); err != nil || current.Version == "" {
			return o.show(received)
		}
		expected = current.Version
	}
	query.Set("expected", expected)
	return o.call(method, "/v1/configuration", query, body)
}

// response is a controller's response.
type response struct {
	status int
	body   []byte
}

// send tries the controllers in order until one responds. After a request without a response, send continues with
// the next controller only if the request cannot have changed anything: if it is a GET, or if the connection was
// refused.
func (o *operator) send(method, path string, query url.Values, body []byte) (response, error) {
	lastError := "no address is given"
	for _, address := range o.addresses {
		request, err := http.NewRequest(method, "http://"+address+path+"?"+query.Encode(), bytes.NewReader(body))
		if err != nil {
			return response{}, failure.Wrap(failure.Malformed, err)
		}
		received, err := o.client.Do(request)
		if err != nil {
			lastError = err.Error()
			if method == http.MethodGet || strings.Contains(lastError, "connection refused") {
				continue
			}
			advice := "; query it with: controller change " + query.Get("change")
			if query.Get("change") == "" {
				advice = "; send the same change again"
			}
			return response{}, &exitError{code: exitUnknown, message: printError("the outcome is unknown: " + lastError + advice)}
		}
		content, err := io.ReadAll(received.Body)
		_ = received.Body.Close()
		if err != nil {
			return response{}, &exitError{code: exitUnknown, message: printError("the response is incomplete: " + err.Error())}
		}
		// The end of the connection may be all that marks the end of a response, also of one that broke off.
		if received.Header.Get("Content-Type") == "application/json" && !json.Valid(content) {
			return response{}, &exitError{code: exitUnknown, message: printError("the response is incomplete: its JSON ends early")}
		}
		return response{status: received.StatusCode, body: content}, nil
	}
	return response{}, &exitError{code: exitUnreachable, message: printError("no controller responded: " + lastError)}
}

// printError prints an error message to standard error and returns it.
func printError(text string) string {
	_, _ = io.WriteString(os.Stderr, text+"\n")
	return text
}

// call sends a request and prints the response.
func (o *operator) call(method, path string, query url.Values, body []byte) error {
	received, err := o.send(method, path, query, body)
	if err != nil {
		return err
	}
	return o.show(received)
}

// show prints the body of a response, indented if it is JSON. It returns nil for a status below 300, and an
// exitError otherwise.
func (o *operator) show(received response) error {
	var indented bytes.Buffer
	if json.Indent(&indented, received.body, "", "  ") != nil {
		indented.Reset()
		indented.Write(received.body)
	}
	_, _ = os.Stdout.WriteString(strings.TrimRight(indented.String(), "\n") + "\n")
	switch {
	case received.status < 300:
		return nil
	case received.status == http.StatusServiceUnavailable && bytes.Contains(received.body, []byte(`"unknown"`)):
		return &exitError{code: exitUnknown, message: "the outcome is unknown"}
	case received.status == http.StatusServiceUnavailable:
		return &exitError{code: exitUnreachable, message: "no controller is primary"}
	}
	return &exitError{code: exitRefused, message: "status " + strconv.Itoa(received.status)}
}
