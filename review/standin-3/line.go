package main

import (
	"bufio"
	"strings"
)

// lineEnd ends a message of the line protocol.
const lineEnd = "\r\n"

// readLine returns the next message without its line end.
func readLine(r *bufio.Reader) (string, error) {
	var b strings.Builder
	for {
		part, err := r.ReadString('\n')
		b.WriteString(part)
		if err != nil {
			return "", err
		}
		if line, ok := strings.CutSuffix(b.String(), lineEnd); ok {
			return line, nil
		}
	}
}
