package main

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"hillknot/client"
)

// maxBodyBytes is how much of a body is read: more than any router takes.
const maxBodyBytes = 1 << 20

// sendFlags are the flags of "hillknot send".
type sendFlags struct {
	requestFlags
	bodyPath string // "-": standard input
}

func sendCommand() *cobra.Command {
	var flags sendFlags
	cmd := &cobra.Command{
		Use: "send OBJECT --router A,B --class new-arrange --body FILE", Short: "Send an order, once", Args: cobra.ExactArgs(1),
		Long: "Send an order. It is never sent again once it may have run.\n" + exitStatusHelp,
		RunE: func(cmd *cobra.Command, args []string) error { return flags.sendOrder(cmd, args[0]) },
	}
	flags.add(cmd, "new-arrange")
	cmd.Flags().StringVar(&flags.bodyPath, "body", "", "`FILE` with what is sent; - for standard input")
	_ = cmd.MarkFlagRequired("body") // fails for unknown flags only
	return cmd
}

// sendOrder sends an order and prints its answer, or with --json what came of it.
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

// readBody reads the body of an order from a file, or from stdin where path is "-".
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
