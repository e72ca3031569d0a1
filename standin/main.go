// Command standin is part of peridotgw; see README.md.
package main

import (
	"fmt"
	"os"
)

func main() {
	fmt.Fprintln(os.Stderr, "standin: not built yet")
	os.Exit(1)
}
