package main

import (
	"encoding/json"
	"net/http"
	"os"

	"github.com/spf13/cobra"

	"seamloom.example/seamloom/internal/adapters/usage"
	"seamloom.example/seamloom/internal/failure"
)

// usageCommand returns the subcommand that exports the usage of all running routers to one file.
func usageCommand() *cobra.Command {
	command := subcommand("usage FILE", "export the usage of all running routers as CSV or Parquet",
		cobra.ExactArgs(1), func(o *operator, command *cobra.Command, arguments []string) error {
			format, _ := command.Flags().GetString("format")
			write := usage.WriteCSV
			switch format {
			case "csv":
			case "parquet":
				write = usage.WriteParquet
			default:
				return failure.At(failure.OutOfRange, "format", "must be csv or parquet, not \""+format+"\"")
			}
			rows, err := o.usage()
			if err != nil {
				return err
			}
			file, err := os.Create(arguments[0])
			if err != nil {
				return failure.Wrap(failure.Disk, err)
			}
			if err := write(file, rows); err != nil {
				_ = file.Close()
				return err
			}
			return failure.Wrap(failure.Disk, file.Close())
		})
	command.Flags().String("format", "csv", "format of the file: csv or parquet")
	return command
}

// usage reads the usage of all running routers. It skips routers that can't be reached, and prints a message for each.
func (o *operator) usage() ([]usage.Row, error) {
	received, err := o.send(http.MethodGet, "/v1/status", nil, nil)
	if err != nil {
		return nil, err
	}
	if received.status != http.StatusOK {
		return nil, o.show(received)
	}
	var status struct {
		Members map[string]struct {
			Kind    string `json:"kind"`
			Address string `json:"address"`
			Running bool   `json:"running"`
		} `json:"members"`
	}
	if err := json.Unmarshal(received.body, &status); err != nil {
		return nil, failure.Wrap(failure.Garbage, err)
	}
	var all []usage.Row
	for name, member := range status.Members {
		if member.Kind != "courier" || !member.Running {
			continue
		}
		response, err := o.client.Get("http://" + member.Address + "/v1/usage")
		if err != nil {
			printError(name + ": the usage can't be read: " + err.Error())
			continue
		}
		var rows []usage.Row
		err = json.NewDecoder(response.Body).Decode(&rows)
		_ = response.Body.Close()
		if err != nil {
			return nil, failure.Wrap(failure.Garbage, err)
		}
		all = append(all, rows...)
	}
	usage.Sort(all)
	return all, nil
}
