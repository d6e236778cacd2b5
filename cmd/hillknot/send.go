package main

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"hillknot/client"
)

// maxBodyBytes is how many bytes of a body are read at most. It is more than any router accepts.
const maxBodyBytes = 1 << 20

// sendFlags holds the flags of "hillknot send".
type sendFlags struct {
	requestFlags
	bodyPath string // "-" for standard input
}

func sendCommand() *cobra.Command {
	var flags sendFlags
	cmd := &cobra.Command{
		Use: "send OBJECT --router A,B --class new-arrange --body FILE", Short: "Send an order, once", Args: cobra.ExactArgs(1),
		Long: "Send an order. It is never retried once it may have run.\n" + exitStatusHelp,
		RunE: func(cmd *cobra.Command, args []string) error { return flags.sendOrder(cmd, args[0]) },
	}
	flags.add(cmd, "new-arrange")
	cmd.Flags().StringVar(&flags.bodyPath, "body", "", "`FILE` with the body of the order; - for standard input")
	_ = cmd.MarkFlagRequired("body") // fails only if the flag is unknown
	return cmd
}

// sendOrder sends an order and prints its answer, or with --json its result.
func (f *sendFlags) sendOrder(cmd *cobra.Command, objectName string) error {
	object, err := parseObject(objectName)
	if err != nil {
		return err
	}
	body, err := readBody(cmd.InOrStdin(), f.bodyPath)
	if err != nil {
		return err
	}
	resp, err := f.send(false, client.Request{Class: f.class, Item: object, Group: f.group, Body: body, Limit: f.deadline})
	if err == nil && !f.json {
		_, err = cmd.OutOrStdout().Write(resp.Body)
	}
	return f.report(cmd, cmd.OutOrStdout(), resp, err)
}

// readBody reads the body of an order from the file at path, or from stdin if path is "-". It reads at most maxBodyBytes.
func readBody(stdin io.Reader, path string) ([]byte, error) {
	in := stdin
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return nil, usageError{err}
		}
		defer file.Close()
		in = file
	}
	body, err := io.ReadAll(io.LimitReader(in, maxBodyBytes))
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	return body, nil
}
