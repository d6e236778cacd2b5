package timeline

import (
	"fmt"
	"slices"
	"strings"
)

// Draw returns the timeline as a table with a column for each node: first the given nodes, then the others in the order of
// their first events. Times are in milliseconds since the first event. Faults are enclosed in asterisks.
func (t Timeline) Draw(nodes ...string) string {
	for _, e := range t {
		if !slices.Contains(nodes, e.Node) {
			nodes = append(nodes, e.Node)
		}
	}
	table := textTable{widths: make([]int, len(nodes))}
	for column, node := range nodes {
		table.widths[column] = len(node)
	}
	for _, e := range t {
		column := slices.Index(nodes, e.Node)
		table.widths[column] = max(table.widths[column], len(e.cellText()))
	}
	table.writeRow("ms", nodes)
	for _, e := range t {
		cells := make([]string, len(nodes))
		cells[slices.Index(nodes, e.Node)] = e.cellText()
		table.writeRow(fmt.Sprintf("%.1f", (e.Time-t[0].Time).Seconds()*1000), cells)
	}
	return table.text.String()
}

// cellText returns the text of the event in the column of its node.
func (e Event) cellText() string {
	if e.Fault {
		return "*** " + e.Action + " ***"
	}
	return strings.TrimPrefix(e.String(), e.Node+" ")
}

// textTable formats the rows of a table with columns of fixed widths.
type textTable struct {
	widths []int
	text   strings.Builder
}

// writeRow appends a row that consists of its label and a cell for each column.
func (t *textTable) writeRow(label string, cells []string) {
	var row strings.Builder
	fmt.Fprintf(&row, "%8s", label)
	for column, cell := range cells {
		fmt.Fprintf(&row, " | %-*s", t.widths[column], cell)
	}
	t.text.WriteString(strings.TrimRight(row.String(), " ") + "\n")
}
