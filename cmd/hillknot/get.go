package main

import (
	"io"
	"os"

	"github.com/spf13/cobra"

	"hillknot/client"
)

// getFlags holds the flags of "hillknot get".
type getFlags struct {
	requestFlags
	part       uint64
	have       string // tag of the copy that the caller has; empty if it has none
	outputPath string // empty for standard output
}

func getCommand() *cobra.Command {
	var flags getFlags
	cmd := &cobra.Command{
		Use: "get OBJECT --router A,B", Short: "Fetch a part of an object", Args: cobra.ExactArgs(1),
		Long: "Fetch a part of an object, to standard output or to a file, which is replaced completely or not at all.\n" +
			exitStatusHelp,
		RunE: func(cmd *cobra.Command, args []string) error { return flags.get(cmd, args[0]) },
	}
	flags.add(cmd, "part-page")
	cmd.Flags().Uint64Var(&flags.part, "part", 0, "number of the part")
	cmd.Flags().StringVar(&flags.have, "have", "", "`TAG` of the copy that the caller already has")
	cmd.Flags().StringVarP(&flags.outputPath, "output", "o", "", "`FILE` for the answer (default: standard output)")
	return cmd
}

// get fetches a part of an object and reports the outcome: on standard error if standard output holds the answer, and
// otherwise on standard output.
func (f *getFlags) get(cmd *cobra.Command, objectName string) error {
	object, err := parseObject(objectName)
	if err != nil {
		return err
	}
	req := client.Request{
		Class: f.class,
		Item:  object,
		Part:  f.part,
		Group: f.group,
		Have:  f.have,
		Limit: f.deadline,
	}
	if f.outputPath == "" {
		req.To = cmd.OutOrStdout()
		resp, err := f.send(true, req)
		return f.report(cmd, cmd.ErrOrStderr(), resp, err)
	}
	file, err := createOutputFile(f.outputPath, f.progressWriter())
	if err != nil {
		return err
	}
	defer file.discard()
	req.To = file
	resp, err := f.send(true, req)
	if err == nil && !resp.Unchanged {
		err = file.commit()
	}
	return f.report(cmd, cmd.OutOrStdout(), resp, err)
}

// progressWriter returns the writer for the progress of a download. It returns nil if the output is JSON or standard error
// is not a terminal.
func (f *getFlags) progressWriter() io.Writer {
	if f.json || !isTerminal(os.Stderr) {
		return nil
	}
	return os.Stderr
}

// isTerminal reports whether f is a character device.
func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
