package main

import (
	"strings"
	"testing"
)

// settingsJSON holds the settings of the instance that createInstance creates.
const settingsJSON = `{"allowed":{"maxAttempts":8},"dcs":["hub","edge"],"hostTypes":["box","mid","store"],"locality":"edge",` +
	`"profiles":[{"name":"a","repeat":"safe","promiseUs":300000,"deadlineUs":3000000,"worth":1}],` +
	`"specifics":{"midKind":1,"storeKind":2,"passThroughOk":true}}`

// createInstance holds the lines that create the instance director-1 and give it an endpoint list with two entries.
const createInstance = "CREATE\ti=director-1\tnonce64=1\tconf=" + settingsJSON + "\n" +
	"SHEET\trosterId=0\tlines=2\nITEM\tnode=5\tflavor=box\thall=edge\tstate=in_service\n" +
	"ITEM\tnode=7\tflavor=mid\thall=hub\tstate=in_service\n" +
	"REGISTRY\ti=director-1\tform=SAVED\tindex=1\trosterId=0\n"

// Each of two batches gets a reply, and an instance that is halted and created again handles a request.
func TestRunWritesOneReplyPerBatch(t *testing.T) {
	var out strings.Builder
	err := run(strings.NewReader("CLOCK\tsimTimeUs=1\n"+createInstance+"END\n\nCLOCK\tsimTimeUs=2000\n"+
		"HALT\ti=director-1\n"+createInstance+
		"NEW_REQUEST\ti=director-1\tid=36\tgrade=a\tfile=0a\tremainingUs=240000\nEND\n"), &out)
	if err != nil {
		t.Fatal(err)
	}
	replies := strings.Split(out.String(), "FINISHED\n")
	if len(replies) != 3 || replies[0] != "" || !strings.Contains(replies[1], "id=36\tnode=5\tfromWhere=7") {
		t.Errorf("replies %q", replies)
	}
}

// A faulty batch gets no reply, and the error names the faulty line.
func TestRunReportsLineOfFault(t *testing.T) {
	for name, text := range map[string]string{
		"malformed":    "CLOCK\tsimTimeUs=1\n" + createInstance + "WHAT\ti=director-1\nEND\n",
		"not created":  "CLOCK\tsimTimeUs=1\nGONE\ti=director-1\tid=1\nEND\n",
		"bad settings": "CLOCK\tsimTimeUs=1\nCREATE\ti=director-1\tnonce64=1\tconf={}\nEND\n",
	} {
		t.Run(name, func(t *testing.T) {
			var out strings.Builder
			err := run(strings.NewReader(text), &out)
			if err == nil || !strings.Contains(err.Error(), "line ") {
				t.Errorf("error %v, want one that names the line", err)
			}
			if out.Len() > 0 {
				t.Errorf("part of a reply was written: %q", out.String())
			}
		})
	}
}
