// Package simulator implements the line protocol of the operators' simulator: it reads batches of events and writes
// replies, which are lists of actions. It makes no decisions; it only converts between lines and the types of package
// balancer.
//
// A batch is a CLOCK line, lines of events and endpoint lists, and END. Each line is a name and name=value fields,
// separated by tabs. The reader is strict: malformed input is an error that names the line.
package simulator
