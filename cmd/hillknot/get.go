package main

import (
	"io"
	"os"

	"github.com/spf13/cobra"

	"hillknot/client"
)

// getFlags are the flags of "hillknot get".
type getFlags struct {
	requestFlags
	part       uint64
	have       string // the tag of the copy that the caller has; empty: none
	outputPath string // empty: standard output
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
	cmd.Flags().StringVar(&flags.have, "have", "", "`TAG` of a copy that is at hand")
	cmd.Flags().StringVarP(&flags.outputPath, "output", "o", "", "`FILE` for the answer (default: standard output)")
	return cmd
}

// get fetches a part of an object and prints what came of it: on standard error where the answer has standard output.
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

// progressWriter returns where the progress of a download is shown; nil: nowhere, as nobody watches.
func (f *getFlags) progressWriter() io.Writer {
	if f.json || !isTerminal(os.Stderr) {
		return nil
	}
	return os.Stderr
}

func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
